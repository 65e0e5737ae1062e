import { MemoryWatch } from '@galenatiller/caller';
import {
  type Entry,
  type ListeningEntry,
  naivePolicy,
  runEntry,
  standardPolicy,
} from '@galenatiller/entry';
import type { NodeStatus } from '@galenatiller/operator';
import type { EntrySettings } from '@galenatiller/settings';

import { connectPlatform, type Platform } from './connectPlatform.js';
import { recordCallMetrics } from './recordCallMetrics.js';
import { NodeObservability } from './nodeObservability.js';
import type { RunRoleOptions } from './runDaemon.js';

/** Runs an entry with the platform given in its settings. */
export async function runEntryRole(opts: RunRoleOptions<EntrySettings>): Promise<void> {
  const { settings } = opts;
  const observability = NodeObservability.create(opts);
  const platform = connectPlatform(opts);
  const cancelWatch = MemoryWatch.create({ ...settings, timer: opts.timer }).start();
  try {
    await runEntry({
      ...opts,
      policy: settings.policy === 'naive' ? naivePolicy : standardPolicy,
      random: Math.random,
      record: (event) => observability.timeline.record(event),
      followConfiguration: platform.followConfiguration,
      exchange: platform.exchange,
      followHosts: platform.followHosts,
      onLimit: (limit) => observability.metrics.count({ name: 'request.limited', tags: { limit } }),
      onCallEnded: (ended) => recordCallMetrics(observability.metrics, ended),
      onListening: (listening) => {
        observability.start(() => createEntryStatus(listening, platform));
      },
    });
  } finally {
    cancelWatch();
    await observability.close();
    await platform.close();
  }
}

function createEntryStatus(listening: ListeningEntry, platform: Platform): NodeStatus {
  const { entry, identity } = listening;
  return {
    ...identity,
    configurationRevision: entry.readConfiguration().revision,
    storeReachable: platform.isStoreReachable(),
    // Each target is reported once, by its own gate.
    targets: [],
    links: entry.directory.links.map((gate) => ({
      peerName: gate.host.name,
      state: gate.isOpen ? 'open' : 'opening',
    })),
    moves: listMoves(entry),
    inFlight: listening.countActiveCalls(),
    draining: !entry.isReady(),
  };
}

function listMoves(entry: Entry): NodeStatus['moves'] {
  const { moves, routes, stages } = entry.readConfiguration();
  return [...moves.values()].flatMap((move) =>
    [...routes.values()]
      .filter((route) =>
        route.stages.some((name) => stages.get(name)?.targetGroup === move.targetGroup),
      )
      .map((route) => ({ ...move, ...entry.versions.getProgress(move, route.name) })),
  );
}
