import { randomUUID } from 'node:crypto';

import { runGeneration } from '@galenatiller/engine';
import { createStoreRunRecords, naivePolicy, runGate, standardPolicy } from '@galenatiller/gate';
import { probeIdentity } from '@galenatiller/http';
import { runPoolStage } from '@galenatiller/pool';
import { runServiceCall } from '@galenatiller/service';
import type { GateSettings } from '@galenatiller/settings';
import { RunRecords } from '@galenatiller/store';

import { connectPlatform } from './connectPlatform.js';
import { createTimeline } from './createTimeline.js';
import type { RunRoleOptions } from './runDaemon.js';

/** Time that a claim waits for others, so that one store call carries them all. */
const RUN_RECORD_WINDOW_MS = 4;

/** Runs a gate against the platform and the targets that its settings name. */
export async function runGateRole(opts: RunRoleOptions<GateSettings>): Promise<void> {
  const timeline = createTimeline(opts);
  const platform = connectPlatform({ ...opts, readPeerOffers: () => Promise.resolve([]) });
  const records = RunRecords.create({
    store: platform.store,
    timer: opts.timer,
    nodeName: opts.settings.nodeName,
    incarnation: randomUUID(),
    groupWindowMs: RUN_RECORD_WINDOW_MS,
  });
  try {
    await runGate({
      ...opts,
      policy: opts.settings.policy === 'naive' ? naivePolicy : standardPolicy,
      probeTarget: probeIdentity,
      record: (event) => timeline.record(event),
      runners: { engine: runGeneration, pool: runPoolStage, service: runServiceCall },
      runRecords: createStoreRunRecords({ records }),
      followConfiguration: platform.followConfiguration,
    });
  } finally {
    await platform.close();
  }
}
