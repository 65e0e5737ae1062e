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

/** Time that the claim of a run waits for other claims, so that one store call can write them all. */
const RUN_RECORD_BATCH_WINDOW_MS = 4;

/** Time between two polls of an engine; an identity older than 300 ms is not used. */
const ENGINE_POLL_INTERVAL_MS = 200;

/** Runs a gate with the platform and the targets given in its settings. */
export async function runGateRole(opts: RunRoleOptions<GateSettings>): Promise<void> {
  const { settings } = opts;
  const observability = NodeObservability.create(opts);
  const platform = connectPlatform(opts);
  try {
    await runGate({
      ...opts,
      random: Math.random,
      policy: settings.policy === 'naive' ? naivePolicy : standardPolicy,
      probeTarget: probeTargetProcess,
      watchTarget: (watchOptions) => watchTarget(opts, watchOptions),
      record: (event) => observability.timeline.record(event),
      runners: { engine: runGeneration, pool: runPoolStage, service: runServiceCall },
      runRecords: createStoreRunRecords({ records: createRunRecords(opts, platform) }),
      followConfiguration: platform.followConfiguration,
      exchange: platform.exchange,
      onListening: (listening) => {
        observability.start(() => createGateStatus(listening, platform));
      },
    });
  } finally {
    await observability.close();
    await platform.close();
  }
}

/** Only engines report their identity. They are polled so that a restart is noticed even while idle. */
function watchTarget(
  { timer }: RunRoleOptions<GateSettings>,
  { settings, ...watch }: WatchTargetOptions,
): Promise<void> {
  if (settings.kind !== 'engine') {
    return Promise.resolve();
  }
  return pollEngine({
    ...watch,
    url: settings.url,
    timer,
    intervalMs: ENGINE_POLL_INTERVAL_MS,
    onLoad: () => {},
    onFailure: () => {},
  });
}

function createRunRecords(opts: RunRoleOptions<GateSettings>, platform: Platform): RunRecords {
  return RunRecords.create({
    store: platform.store,
    timer: opts.timer,
    nodeName: opts.settings.nodeName,
    incarnation: randomUUID(),
    groupWindowMs: RUN_RECORD_BATCH_WINDOW_MS,
  });
}

function createGateStatus({ gate, identity }: ListeningGate, platform: Platform): NodeStatus {
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
