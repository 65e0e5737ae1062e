import type { TimerService } from '@galenatiller/timer';
import type { Duty, UsageUpdate } from '@galenatiller/types';

import type { LedgerEntry, ProviderClient } from './ports.js';
import { ProviderPace } from './providerPace.js';
import { runUsageReports } from './runUsageReports.js';
import { MAX_OPEN_WINDOWS, type UsageReportEvent, UsageReports } from './usageReports.js';
import { UsageSender } from './usageSender.js';
import { UsageTotals } from './usageTotals.js';
import { Wake } from './wake.js';
import { type ClockEvent, WindowClock } from './windowClock.js';

/** Options of {@link createUsage}. */
export interface UsageOptions {
  readonly timer: TimerService;
  readonly duty: Duty;
  /** Name of this router. */
  readonly router: string;
  readonly windowMs: number;
  /** Time after the end of a window within which its report is due. */
  readonly lateMs: number;
  /** Calls per second that the provider accepts from all routers. */
  readonly ratePerS: number;
  /** Time for which the host has been suspended, which the monotonic clock does not count. */
  readonly suspendedMs: () => number;
  readonly random: () => number;
  readonly client: Pick<ProviderClient, 'reportUsage'>;
  readonly entry: LedgerEntry;
  readonly storeEra: {
    readonly current: number;
    readonly rises: number;
    readonly onRise: (notify: () => void) => () => void;
  };
  /** Sends an update to another router; false if its link is not open. */
  readonly sendToPeer: (opts: { readonly peer: string; readonly update: UsageUpdate }) => boolean;
  readonly onEvent: (event: UsageReportEvent | ClockEvent) => void;
}

/** Counts the requests of organisations and reports them while this router is the holder. */
export interface Usage {
  /** Counts a request of an organisation that has begun to run now. */
  readonly count: (organisation: string) => void;
  /** Takes the counts of another router. */
  readonly merge: (update: UsageUpdate) => void;
  /** To be called when a link to another router has been opened. */
  readonly onLinkOpened: (peer: string) => void;
  /** Number of fixed reports that are not known to be accepted; 0 unless this router is the holder. */
  readonly openReports: () => number;
  readonly run: (opts: { readonly signal: AbortSignal }) => Promise<void>;
}

/** Creates the parts that count requests and report them. */
export function createUsage(opts: UsageOptions): Usage {
  const { timer, duty, router, storeEra, random } = opts;
  const clock = WindowClock.create(opts);
  const totals = UsageTotals.create();
  const wake = Wake.create({ timer });
  const merge = (update: UsageUpdate): void => {
    if (totals.merge(update)) {
      totals.forgetBefore(clock.window() - MAX_OPEN_WINDOWS);
      wake.notify();
    }
  };
  const sender = UsageSender.create({
    timer,
    clock,
    duty,
    router,
    start: `${timer.wallMs()}-${random()}`,
    send: ({ peer, update }) => {
      if (peer !== router) {
        return opts.sendToPeer({ peer, update });
      }
      merge(update);
      return true;
    },
  });
  const reports = UsageReports.create({
    ...opts,
    clock,
    nowMs: () => timer.nowMs(),
    totals,
    pace: ProviderPace.create(opts),
  });
  return {
    count: (organisation) => sender.count(organisation),
    merge,
    onLinkOpened: (peer) => sender.resend(peer),
    openReports: () => reports.openReports,
    run: async ({ signal }) => {
      const stopListening = [
        duty.onChange(() => wake.notify()),
        storeEra.onRise(() => wake.notify()),
      ];
      await Promise.all([
        sender.run({ signal }),
        runUsageReports({ ...opts, reports, wake, signal }),
      ]);
      stopListening.forEach((stop) => stop());
    },
  };
}
