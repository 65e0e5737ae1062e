import type { Cancel, TimerService } from '@galenatiller/timer';

/** Options of {@link PingTicker.create}. */
export interface PingTickerOptions {
  readonly timer: TimerService;
}

/** Interval of pings, which are sent only while orders wait for a result. */
const PING_INTERVAL_MS = 200;

/** One timer for the pings of all links, since a timer for each link wakes the process for each. */
export class PingTicker {
  private readonly listeners = new Set<() => void>();

  private cancel: Cancel | undefined;

  private constructor(private readonly opts: PingTickerOptions) {}

  /** Creates a ticker that nobody listens to. */
  static create(opts: PingTickerOptions): PingTicker {
    return new PingTicker(opts);
  }

  /** Calls a function at each interval; returns a function that ends that. */
  start(check: () => void): Cancel {
    // A function of its own, so that one that is given twice is called twice.
    const notify = (): void => check();
    this.listeners.add(notify);
    this.cancel ??= this.opts.timer.every({
      intervalMs: PING_INTERVAL_MS,
      notify: () => [...this.listeners].forEach((listener) => listener()),
    });
    return () => {
      this.listeners.delete(notify);
      if (this.listeners.size === 0) {
        this.cancel?.();
        this.cancel = undefined;
      }
    };
  }
}
