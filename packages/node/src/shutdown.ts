import type { Cancel, TimeLimit, TimerService } from '@galenatiller/timer';

/** Options of {@link Shutdown.create}. */
export interface ShutdownOptions {
  readonly timer: TimerService;
  /** Time after the start of the shutdown at which the process ends. */
  readonly limitMs: number;
}

/** Share of the stop limit, and its maximum, that is kept for the responses to unfinished work. */
const RESPONSE_SHARE = 0.2;
const MAX_RESPONSE_MS = 1_000;

/**
 * The graceful shutdown of a node. Work may go on for a part of the stop limit; what is unfinished
 * then gets a response in the time that is left, because the process ends at the limit.
 */
export class Shutdown {
  private workEndsAtMs = Number.POSITIVE_INFINITY;

  private hasWorkEnded = false;

  private cancelWorkEnd: Cancel | undefined;

  /** A set, because an abort signal looks through its listeners to add one for each call. */
  private readonly subscribers = new Set<() => void>();

  private constructor(private readonly opts: ShutdownOptions) {}

  /** Creates a shutdown that has not begun. */
  static create(opts: ShutdownOptions): Shutdown {
    return new Shutdown(opts);
  }

  /** Whether the shutdown has begun; no new work is accepted from then on. */
  get hasBegun(): boolean {
    return Number.isFinite(this.workEndsAtMs);
  }

  /** Whether unfinished work has to be answered now. */
  get isWorkOver(): boolean {
    return this.hasWorkEnded;
  }

  /** Time for which work may go on; infinite before the shutdown begins. */
  get remainingMs(): number {
    return Math.max(0, this.workEndsAtMs - this.opts.timer.nowMs());
  }

  /** Begins the shutdown; has no effect when it has begun before. */
  begin(): void {
    if (this.hasBegun) {
      return;
    }
    const { timer, limitMs } = this.opts;
    const workMs = limitMs - Math.min(limitMs * RESPONSE_SHARE, MAX_RESPONSE_MS);
    this.workEndsAtMs = timer.nowMs() + workMs;
    this.cancelWorkEnd = timer.after({ delayMs: workMs, notify: () => this.endWork() });
  }

  /** Frees the timer of a shutdown whose work has ended before its time. */
  finish(): void {
    this.cancelWorkEnd?.();
  }

  /** Calls `notify` when unfinished work has to be answered, immediately if it already has to. */
  onWorkEnd(notify: () => void): Cancel {
    if (this.hasWorkEnded) {
      notify();
      return () => {};
    }
    this.subscribers.add(notify);
    return () => {
      this.subscribers.delete(notify);
    };
  }

  /** Starts a time limit that also ends when unfinished work has to be answered. */
  startTimeLimit(opts: { readonly limitMs: number; readonly parent: AbortSignal }): TimeLimit {
    const limit = this.opts.timer.startTimeLimit(opts);
    const ended = new AbortController();
    const abort = (): void => ended.abort();
    limit.signal.addEventListener('abort', abort, { once: true });
    if (limit.signal.aborted) {
      abort();
    }
    const cancel = this.onWorkEnd(abort);
    const release = (): void => {
      cancel();
      limit.signal.removeEventListener('abort', abort);
      limit.release();
    };
    return { signal: ended.signal, release };
  }

  private endWork(): void {
    this.hasWorkEnded = true;
    const subscribers = [...this.subscribers];
    this.subscribers.clear();
    subscribers.forEach((notify) => notify());
  }
}
