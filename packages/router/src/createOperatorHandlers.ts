import type { EventLog } from '@galenatiller/logger';
import { type PrefixEntry, type PrefixMirrorOptions, RestoredEntries } from '@galenatiller/store';
import type { TargetDirectory } from '@galenatiller/target';
import type { TimerService } from '@galenatiller/timer';

import type { OperatorEntryDecoder } from './entryDecoders.js';
import type { Rollouts } from './rollouts.js';
import type { RouteTable } from './routeTable.js';

/** Time in which operators write again what a restored store lacks. */
const REWRITE_TIME_MS = 2_200;

/** Options of {@link createOperatorHandlers}. */
export interface OperatorHandlersOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly operatorEntries: OperatorEntryDecoder;
  readonly routes: RouteTable;
  readonly targets: TargetDirectory;
  readonly rollouts: Rollouts;
  /** Called after all entries or changes that have arrived together. */
  readonly onChanged: () => void;
}

/** Creates the mirror handlers that apply the entries of operators. */
export function createOperatorHandlers(
  opts: OperatorHandlersOptions,
): Pick<PrefixMirrorOptions, 'prefix' | 'onEntries' | 'onChange' | 'onApplied' | 'prepare'> {
  const { timer, operatorEntries, targets } = opts;
  const restored = RestoredEntries.create({
    timer,
    keepMissingMs: REWRITE_TIME_MS,
    holdStaleMs: REWRITE_TIME_MS,
    // An older order would name a version anew that has been stopped since.
    isStale: ({ known, isDeleted, read }) =>
      operatorEntries.decode(read).kind === 'rollout' &&
      (isDeleted || !known.value.equals(read.value)),
    handlers: {
      onEntries: (entries) => {
        const zonesOut = new Set(entries.map(({ key }) => operatorEntries.zoneOfKey(key)));
        targets
          .zonesTakenOut()
          .filter((zone) => !zonesOut.has(zone))
          .forEach((zone) => targets.setZoneOut({ zone, isOut: false, storeRevision: 0 }));
        entries.forEach((entry) => applyEntry(opts, entry));
      },
      onChange: (change) => {
        if (change.kind === 'put') {
          applyEntry(opts, change.entry);
        } else {
          const zone = operatorEntries.zoneOfKey(change.key);
          if (zone !== undefined) {
            targets.setZoneOut({ zone, isOut: false, storeRevision: change.revision });
          }
        }
      },
      onApplied: opts.onChanged,
    },
  });
  const prepare = async (entries: readonly PrefixEntry[]): Promise<void> => {
    for (const entry of entries) {
      await operatorEntries.prepare?.(entry);
    }
  };
  return { prefix: operatorEntries.prefix, prepare, ...restored.handlers() };
}

function applyEntry(opts: OperatorHandlersOptions, entry: PrefixEntry): void {
  const { timer, log, routes, targets } = opts;
  const { key, revision: storeRevision } = entry;
  const startedAtMs = timer.nowMs();
  const decoded = opts.operatorEntries.decode(entry);
  if (decoded.kind === 'zone-out') {
    targets.setZoneOut({ zone: decoded.zone, isOut: true, storeRevision });
    return;
  }
  if (decoded.kind === 'rollout') {
    const { service, targetVersion, durationMs } = decoded.order;
    opts.rollouts.setOrder(decoded.order);
    const outcome = 'ordered';
    log({ about: 'belief', event: 'rollout', service, targetVersion, durationMs, outcome });
    return;
  }
  if (decoded.kind === 'unusable') {
    const outcome = `ignored: ${decoded.detail}`;
    log({ about: 'belief', event: 'operator-entry', key, storeRevision, outcome });
    return;
  }
  const { version } = decoded.configuration;
  const before = routes.currentConfiguration()?.version;
  const outcome = routes.update(decoded.configuration);
  const size = { bytes: entry.value.length, routes: decoded.configuration.routes.length };
  const tookMs = Math.round(timer.nowMs() - startedAtMs);
  const line = { version, before, storeRevision, ...size, tookMs };
  log({ about: 'belief', event: 'configuration', ...line, outcome });
  if (outcome === 'adopted') {
    logProblems(opts);
  }
}

/** Lines on the problems of one configuration. */
const MAX_PROBLEM_LINES = 20;

/** Logs what of the active configuration is not in force. */
function logProblems({ log, routes }: Pick<OperatorHandlersOptions, 'log' | 'routes'>): void {
  const configuration = routes.currentConfiguration();
  if (!configuration) {
    return;
  }
  const { version, invalidRoutes, unreadable } = configuration;
  const problems = [
    ...invalidRoutes.map(({ name: route, problems: found }) => ({
      event: 'route-invalid',
      route,
      outcome: `refused: ${found.join('; ')}`,
    })),
    ...unreadable.map((problem) => ({
      event: 'configuration-unreadable',
      outcome: `ignored: ${problem}`,
    })),
  ];
  const left = problems.length - MAX_PROBLEM_LINES;
  problems
    .slice(0, MAX_PROBLEM_LINES)
    .forEach((problem) => log({ about: 'belief', configuration: version, ...problem }));
  if (left > 0) {
    const outcome = `${left} more problems`;
    log({ about: 'belief', event: 'configuration-unreadable', configuration: version, outcome });
  }
}
