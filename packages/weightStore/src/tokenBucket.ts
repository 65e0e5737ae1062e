import type { TimerService } from '@galenatiller/timer';

/** Options of {@link TokenBucket.create}. */
export interface TokenBucketOptions {
  readonly timer: TimerService;
  readonly ratePerSecond: number;
  /** Number of calls that may be made at once after an idle period. */
  readonly burst: number;
}

const MS_PER_SECOND = 1_000;

/** Keeps calls within a rate limit; callers wait in order of arrival. */
export class TokenBucket {
  private readonly intervalMs: number;

  /** When the next call would be due if calls were evenly spaced. */
  private dueMs: number;

  private constructor(private readonly opts: TokenBucketOptions) {
    this.intervalMs = MS_PER_SECOND / opts.ratePerSecond;
    this.dueMs = opts.timer.nowMs();
  }

  /** Creates a full bucket. */
  static create(opts: TokenBucketOptions): TokenBucket {
    return new TokenBucket(opts);
  }

  /** Waits until a call is within the rate limit, or until the signal aborts. */
  async take(signal: AbortSignal): Promise<void> {
    const { timer, burst } = this.opts;
    const nowMs = timer.nowMs();
    this.dueMs = Math.max(this.dueMs, nowMs);
    const delayMs = this.dueMs - (burst - 1) * this.intervalMs - nowMs;
    this.dueMs += this.intervalMs;
    if (delayMs > 0) {
      await timer.sleep({ delayMs, signal });
    }
  }

  /** Holds back all calls for a time, as the peer has requested. */
  pause(pauseMs: number): void {
    const { timer, burst } = this.opts;
    const resumeDueMs = timer.nowMs() + pauseMs + (burst - 1) * this.intervalMs;
    this.dueMs = Math.max(this.dueMs, resumeDueMs);
  }
}
