import { naivePolicy, runEntry, standardPolicy } from '@galenatiller/entry';
import type { EntrySettings } from '@galenatiller/settings';

import { connectPlatform } from './connectPlatform.js';
import { createTimeline } from './createTimeline.js';
import type { RunRoleOptions } from './runDaemon.js';

/** Runs an entry against the platform that its settings name. */
export async function runEntryRole(opts: RunRoleOptions<EntrySettings>): Promise<void> {
  const timeline = createTimeline(opts);
  const platform = connectPlatform({ ...opts, readPeerOffers: () => Promise.resolve([]) });
  try {
    await runEntry({
      ...opts,
      policy: opts.settings.policy === 'naive' ? naivePolicy : standardPolicy,
      random: Math.random,
      record: (event) => timeline.record(event),
      followConfiguration: platform.followConfiguration,
      followHosts: platform.followHosts,
    });
  } finally {
    await platform.close();
  }
}
