import { Duties } from '@galenatiller/duty';
import type { EventLog } from '@galenatiller/logger';
import type { MetricSink } from '@galenatiller/metrics';
import type { RouterSettings } from '@galenatiller/settings';
import type {
  Membership,
  PrefixRelay,
  PrefixSource,
  StatedEra,
  WriteIfUnchanged,
} from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';

import { logDuty, logStoreEvent } from './logEvents.js';

/** Options of {@link createDuties}. */
export interface CreateDutiesOptions {
  readonly settings: Pick<
    RouterSettings,
    'nodeName' | 'providerAddress' | 'dutyNames' | 'dutyLeaseMs'
  >;
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics: MetricSink;
  readonly hash: (text: string) => number;
  readonly random: () => number;
  readonly storeEra: StatedEra;
  /** Reads the store, or asks routers that do. */
  readonly source: PrefixSource;
  /** The store itself. */
  readonly directSource: PrefixSource;
  readonly writeIfUnchanged: WriteIfUnchanged;
  readonly members: Pick<Membership, 'ownLease'>;
  readonly relay: Pick<PrefixRelay, 'observe'>;
}

/** Creates the duties that the settings name; undefined if they name none, or no provider. */
export function createDuties(opts: CreateDutiesOptions): Duties | undefined {
  const { settings, log, metrics } = opts;
  if (settings.providerAddress === '' || settings.dutyNames.length === 0) {
    return undefined;
  }
  return Duties.create({
    ...opts,
    names: settings.dutyNames,
    selfName: settings.nodeName,
    leaseMs: settings.dutyLeaseMs,
    ownLease: () => opts.members.ownLease(),
    observer: opts.relay.observe({ prefix: Duties.prefix, isEquivalent: () => false }),
    onEvent: (event) => {
      logDuty(log, event);
      metrics.count({
        name: 'router.duty_changes',
        tags: { duty: event.duty, dutyChange: event.kind },
      });
    },
    onMirrorEvent: (event) => logStoreEvent(log, event),
  });
}
