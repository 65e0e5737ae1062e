import type { Cancel, TimerService } from '@galenatiller/timer';

/** Options of {@link EventLoopWatch.create}. */
export interface EventLoopWatchOptions {
  readonly timer: TimerService;
  /** Called once for each period in which the event loop was blocked for long. */
  readonly onLag: (opts: { readonly lagMs: number }) => void;
  /** Called at each check. */
  readonly onCheck: (opts: { readonly lagMs: number }) => void;
}

const CHECK_INTERVAL_MS = 100;

const REPORT_INTERVAL_MS = 1_000;

/** Callers notice a pause from about this length on. */
const MIN_REPORTED_LAG_MS = 100;

/** Shorter waits are within the time that callers allow for the network. */
const MIN_UNREAD_MS = 20;

/** Measures how late the timers of the process fire, which shows whether it has enough CPU time. */
export class EventLoopWatch {
  private maxLagMs = 0;

  private dueAtMs: number;

  private reportAtMs: number;

  /** How late the check of the present turn of the event loop was; 0 in a turn without one. */
  private turnLagMs = 0;

  private constructor(private readonly opts: EventLoopWatchOptions) {
    const nowMs = opts.timer.nowMs();
    this.dueAtMs = nowMs + CHECK_INTERVAL_MS;
    this.reportAtMs = nowMs + REPORT_INTERVAL_MS;
  }

  /** Creates a watch that has not started. */
  static create(opts: EventLoopWatchOptions): EventLoopWatch {
    return new EventLoopWatch(opts);
  }

  /** Longest lag in the present period. */
  get lagMs(): number {
    return this.maxLagMs;
  }

  /**
   * Time for which data that is read now may have waited unread. The timers of a turn come before its
   * reads: a check that was late in this turn, or is overdue because the process was paused while it waited for
   * data, shows that nothing was read for as long.
   */
  get unreadMs(): number {
    const overdueMs = this.opts.timer.nowMs() - this.dueAtMs;
    return overdueMs >= MIN_UNREAD_MS ? overdueMs : this.turnLagMs;
  }

  /** Starts measuring, until cancelled. */
  start(): Cancel {
    return this.opts.timer.every({ intervalMs: CHECK_INTERVAL_MS, notify: () => this.check() });
  }

  private check(): void {
    const nowMs = this.opts.timer.nowMs();
    const lagMs = Math.max(0, nowMs - this.dueAtMs);
    this.maxLagMs = Math.max(this.maxLagMs, lagMs);
    this.opts.onCheck({ lagMs });
    if (lagMs >= MIN_UNREAD_MS) {
      this.turnLagMs = lagMs;
      // Immediates come after the reads of a turn.
      setImmediate(() => {
        this.turnLagMs = 0;
      });
    }
    this.dueAtMs = nowMs + CHECK_INTERVAL_MS;
    if (nowMs < this.reportAtMs) {
      return;
    }
    this.reportAtMs = nowMs + REPORT_INTERVAL_MS;
    if (this.maxLagMs >= MIN_REPORTED_LAG_MS) {
      this.opts.onLag({ lagMs: this.maxLagMs });
    }
    this.maxLagMs = 0;
  }
}
