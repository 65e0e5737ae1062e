import type { CallerLimit } from '@galenatiller/caller';
import type { EventLog } from '@galenatiller/logger';
import type { MetricSink } from '@galenatiller/metrics';
import type { TimerService } from '@galenatiller/timer';

/** Options of {@link LimitedCallers.create}. */
export interface LimitedCallersOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics: Pick<MetricSink, 'count'>;
}

/** Hostile callers may meet thousands of limits a second; their lines must not displace others. */
const LOG_INTERVAL_MS = 1_000;

/** Counts and logs the connections and requests that the limits for callers ended: one line a second at most. */
export class LimitedCallers {
  private readonly counts = new Map<CallerLimit, number>();

  private isLogScheduled = false;

  private constructor(private readonly opts: LimitedCallersOptions) {}

  /** Creates an instance that has counted nothing. */
  static create(opts: LimitedCallersOptions): LimitedCallers {
    return new LimitedCallers(opts);
  }

  /** Records that a limit ended a connection, a body or a request. */
  record(limit: CallerLimit): void {
    const { timer, metrics } = this.opts;
    metrics.count({ name: 'router.callers_limited', tags: { limit } });
    this.counts.set(limit, (this.counts.get(limit) ?? 0) + 1);
    if (!this.isLogScheduled) {
      this.isLogScheduled = true;
      timer.after({ delayMs: LOG_INTERVAL_MS, notify: () => this.write() });
    }
  }

  private write(): void {
    this.isLogScheduled = false;
    const limited = [...this.counts].map(([limit, count]) => `${limit} ${count}`);
    this.counts.clear();
    this.opts.log({
      about: 'decision',
      event: 'callers-limited',
      limited,
      outcome: 'connections closed and requests refused in the last second',
    });
  }
}
