import { randomUUID } from 'node:crypto';

import { runGeneration, pollEngine } from '@galenatiller/engine';
import {
  createStoreRunRecords,
  type ListeningGate,
  naivePolicy,
  runGate,
  standardPolicy,
  type WatchTargetOptions,
} from '@galenatiller/gate';
import { probeTargetProcess } from '@galenatiller/http';
import type { NodeStatus } from '@galenatiller/operator';
import { runPoolStage } from '@galenatiller/pool';
import { runServiceCall } from '@galenatiller/service';
import type { GateSettings } from '@galenatiller/settings';
import { RunRecords } from '@galenatiller/store';

import { connectPlatform, type Platform } from './connectPlatform.js';
import { NodeObservability } from './nodeObservability.js';
import type { RunRoleOptions } from './runDaemon.js';

/** Time that a claim waits for others, so that one store call carries them all. */
const RUN_RECORD_WINDOW_MS = 4;

/** Time between looks at an engine; an identity older than 300 ms does not count. */
const ENGINE_LOOK_INTERVAL_MS = 200;

/** Runs a gate against the platform and the targets that its settings name. */
export async function runGateRole(opts: RunRoleOptions<GateSettings>): Promise<void> {
  const { settings } = opts;
  const observer = NodeObservability.create(opts);
  const platform = connectPlatform(opts);
  try {
    await runGate({
      ...opts,
      policy: settings.policy === 'naive' ? naivePolicy : standardPolicy,
      probeTarget: probeTargetProcess,
      watchTarget: (watch) => watchTarget(opts, watch),
      record: (event) => observer.timeline.record(event),
      runners: { engine: runGeneration, pool: runPoolStage, service: runServiceCall },
      runRecords: createStoreRunRecords({ records: createRecords(opts, platform) }),
      followConfiguration: platform.followConfiguration,
      exchange: platform.exchange,
      onListening: (listening) => {
        observer.start(() => describeGate(listening, platform));
      },
    });
  } finally {
    await observer.close();
    await platform.close();
  }
}

/** Only engines tell their identity; an idle one is looked at to see a restart. */
function watchTarget(
  { timer }: RunRoleOptions<GateSettings>,
  { settings, onStartId, signal }: WatchTargetOptions,
): Promise<void> {
  if (settings.kind !== 'engine') {
    return Promise.resolve();
  }
  return pollEngine({
    url: settings.url,
    timer,
    signal,
    intervalMs: ENGINE_LOOK_INTERVAL_MS,
    onStartId,
    onLoad: () => {},
    onFailure: () => {},
  });
}

function createRecords(opts: RunRoleOptions<GateSettings>, platform: Platform): RunRecords {
  return RunRecords.create({
    store: platform.store,
    timer: opts.timer,
    nodeName: opts.settings.nodeName,
    incarnation: randomUUID(),
    groupWindowMs: RUN_RECORD_WINDOW_MS,
  });
}

function describeGate({ gate, identity }: ListeningGate, platform: Platform): NodeStatus {
  return {
    ...identity,
    configurationRevision: gate.readConfiguration().revision,
    storeReachable: platform.isStoreReachable(),
    targets: gate.listTargetReports(),
    links: gate.listConnectedEntries().map((peerName) => ({ peerName, state: 'open' })),
    moves: [],
    inFlight: gate.countActiveRequests(),
    draining: gate.isLeaving(),
  };
}
