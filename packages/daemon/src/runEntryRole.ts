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

/** Runs an entry against the platform that its settings name. */
export async function runEntryRole(opts: RunRoleOptions<EntrySettings>): Promise<void> {
  const { settings } = opts;
  const observer = NodeObservability.create(opts);
  const platform = connectPlatform(opts);
  try {
    await runEntry({
      ...opts,
      policy: settings.policy === 'naive' ? naivePolicy : standardPolicy,
      random: Math.random,
      record: (event) => observer.timeline.record(event),
      followConfiguration: platform.followConfiguration,
      exchange: platform.exchange,
      followHosts: platform.followHosts,
      onCallEnded: (ended) => recordCallMetrics(observer.metrics, ended),
      onListening: (listening) => {
        observer.start(() => describeEntry(listening, platform));
      },
    });
  } finally {
    await observer.close();
    await platform.close();
  }
}

function describeEntry(listening: ListeningEntry, platform: Platform): NodeStatus {
  const { entry, identity } = listening;
  return {
    ...identity,
    configurationRevision: entry.readConfiguration().revision,
    storeReachable: platform.isStoreReachable(),
    // Targets are told by their own gates, once.
    targets: [],
    links: entry.directory.links.map((gate) => ({
      peerName: gate.host.name,
      state: gate.isOpen ? 'open' : 'opening',
    })),
    moves: describeMoves(entry),
    inFlight: listening.countActiveCalls(),
    draining: !entry.isReady(),
  };
}

function describeMoves(entry: Entry): NodeStatus['moves'] {
  const { moves, routes, stages } = entry.readConfiguration();
  return [...moves.values()].flatMap((move) =>
    [...routes.values()]
      .filter((route) =>
        route.stages.some((name) => stages.get(name)?.targetGroup === move.targetGroup),
      )
      .map((route) => ({ ...move, ...entry.versions.getProgress(move, route.name) })),
  );
}
