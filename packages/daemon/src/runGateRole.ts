import { runGeneration } from '@galenatiller/engine';
import { createMemoryRunRecords, runGate } from '@galenatiller/gate';
import { runPoolStage } from '@galenatiller/pool';
import { runServiceCall } from '@galenatiller/service';
import type { GateSettings } from '@galenatiller/settings';

import { connectPlatform } from './connectPlatform.js';
import type { RunRoleOptions } from './runDaemon.js';

/** Runs a gate against the platform and the targets that its settings name. */
export async function runGateRole(opts: RunRoleOptions<GateSettings>): Promise<void> {
  const platform = connectPlatform({ ...opts, readPeerOffers: () => Promise.resolve([]) });
  try {
    await runGate({
      ...opts,
      runners: { engine: runGeneration, pool: runPoolStage, service: runServiceCall },
      runRecords: createMemoryRunRecords(),
      followConfiguration: platform.followConfiguration,
    });
  } finally {
    await platform.close();
  }
}
