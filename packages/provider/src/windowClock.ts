import type { TimerService } from '@galenatiller/timer';

/** A jump of the wall clock that is not followed yet, or the end of that. */
export interface ClockEvent {
  readonly kind: 'jump-held' | 'jump-followed' | 'jump-undone';
  /** By how much the wall clock is ahead of the time that is used. */
  readonly byMs: number;
}

/** Options of {@link WindowClock.create}. */
export interface WindowClockOptions {
  readonly timer: TimerService;
  readonly windowMs: number;
  /** Time for which the host has been suspended, which the monotonic clock does not count. */
  readonly suspendedMs: () => number;
  readonly onEvent: (event: ClockEvent) => void;
}

/** A smaller difference between the clocks is a correction, which is followed at once. */
const MAX_CORRECTION_MS = 100;

/** The clocks of a process that was held up between reading them can't be compared. */
const MAX_READ_MS = 10;

/** Time after which a jump that remains is followed. */
const HOLD_JUMP_MS = 30_000;

/**
 * The time that decides to which window a request belongs: the wall clock, but not its jumps at once. A
 * jump that a suspension of the host explains is no error of the wall clock and is followed.
 */
export class WindowClock {
  /** Wall clock less monotonic clock, as they are used. */
  private offsetMs: number;

  private suspendedMs: number;

  private jump: { readonly byMs: number; readonly sinceMs: number } | undefined;

  private constructor(private readonly opts: WindowClockOptions) {
    this.offsetMs = opts.timer.wallMs() - opts.timer.nowMs();
    this.suspendedMs = opts.suspendedMs();
  }

  /** Creates a clock that starts with the wall clock. */
  static create(opts: WindowClockOptions): WindowClock {
    return new WindowClock(opts);
  }

  /** Length of a window. */
  get windowMs(): number {
    return this.opts.windowMs;
  }

  /** Unix time. */
  nowMs(): number {
    const { timer } = this.opts;
    const monotonicMs = timer.nowMs();
    const wallMs = timer.wallMs();
    if (timer.nowMs() - monotonicMs <= MAX_READ_MS) {
      this.compare(monotonicMs, wallMs - monotonicMs - this.offsetMs);
    }
    return monotonicMs + this.offsetMs;
  }

  /** The current window. */
  window(): number {
    return this.windowAt(this.nowMs());
  }

  /** The window of a Unix time. */
  windowAt(unixMs: number): number {
    return Math.floor(unixMs / this.opts.windowMs);
  }

  /** Unix time of the end of a window. */
  endOf(window: number): number {
    return (window + 1) * this.opts.windowMs;
  }

  private compare(monotonicMs: number, aheadMs: number): void {
    if (Math.abs(aheadMs) <= MAX_CORRECTION_MS) {
      this.endJump('jump-undone', aheadMs);
      return;
    }
    const { jump } = this;
    if (jump && Math.abs(aheadMs - jump.byMs) <= MAX_CORRECTION_MS) {
      if (monotonicMs - jump.sinceMs >= HOLD_JUMP_MS) {
        this.endJump('jump-followed', aheadMs);
      }
      return;
    }
    const suspendedMs = this.opts.suspendedMs();
    const isExplained = Math.abs(aheadMs - (suspendedMs - this.suspendedMs)) <= MAX_CORRECTION_MS;
    this.suspendedMs = suspendedMs;
    this.jump = { byMs: aheadMs, sinceMs: monotonicMs };
    if (isExplained) {
      this.endJump('jump-followed', aheadMs);
    } else {
      this.opts.onEvent({ kind: 'jump-held', byMs: Math.round(aheadMs) });
    }
  }

  private endJump(kind: ClockEvent['kind'], aheadMs: number): void {
    this.offsetMs += aheadMs;
    if (this.jump) {
      this.jump = undefined;
      this.opts.onEvent({ kind, byMs: Math.round(aheadMs) });
    }
  }
}
