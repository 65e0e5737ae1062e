import type { TimerService } from '@galenatiller/timer';
import type { CallPhase } from '@galenatiller/types';

/** A call that the stop of the router ended before its response was complete. */
export interface StoppedCallEvent {
  readonly requestId: string;
  readonly route: string;
  readonly phase: CallPhase;
  /** Time since the call was received. */
  readonly tookMs: number;
  /** Estimated time until the end of the response. */
  readonly neededMs: number;
  /** Time until the router ends all calls. */
  readonly leftMs: number;
}

/** Options of {@link RouterStop.create}. */
export interface RouterStopOptions {
  readonly timer: TimerService;
  readonly onCallStopped: (event: StoppedCallEvent) => void;
}

/** Options of {@link RouterStop.track}. */
export interface TrackOptions {
  readonly requestId: string;
  readonly route: string;
  readonly receivedAtMs: number;
  /** Estimates the time until the end of the response of a call that no target has been sent. */
  readonly estimateMs: (phase: 'staging' | 'unsent') => number;
}

/** A call in progress, as far as the stop of the router is concerned. */
export interface TrackedCall {
  /** Aborts when the stop ends the call. */
  readonly signal: AbortSignal;
  /** Records how far the call has come. */
  readonly enter: (phase: CallPhase) => void;
  /** Whether the call can still be ended in time; ends it otherwise. */
  readonly check: () => boolean;
  readonly release: () => void;
}

interface CallInProgress extends TrackOptions {
  phase: CallPhase;
  readonly abort: AbortController;
}

/** Estimates change as stages take longer than usual, so unsent calls are checked again at this interval. */
const CHECK_INTERVAL_MS = 50;

/**
 * The end of a stopping router, as one more deadline of every call. A call that no target has been sent
 * is ended as soon as it can't be answered before, so that its caller turns to another router in time.
 */
export class RouterStop {
  private readonly calls = new Set<CallInProgress>();

  private endsAtMs = Infinity;

  private constructor(private readonly opts: RouterStopOptions) {}

  /** Creates the stop of a router that has not been asked to stop. */
  static create(opts: RouterStopOptions): RouterStop {
    return new RouterStop(opts);
  }

  /** Time until all calls are ended; Infinity while the router isn't stopping. */
  get leftMs(): number {
    return this.endsAtMs - this.opts.timer.nowMs();
  }

  /** Begins the stop: all calls end by a monotonic time. */
  begin({ endsAtMs }: { readonly endsAtMs: number }): void {
    this.endsAtMs = endsAtMs;
    this.checkAll();
  }

  /** Tracks a call until it is released. */
  track(opts: TrackOptions): TrackedCall {
    const call: CallInProgress = { ...opts, phase: 'receiving', abort: new AbortController() };
    this.calls.add(call);
    return {
      signal: call.abort.signal,
      enter: (phase) => {
        call.phase = phase;
      },
      check: () => this.check(call),
      release: () => {
        this.calls.delete(call);
      },
    };
  }

  private checkAll(): void {
    [...this.calls].forEach((call) => this.check(call));
    const { leftMs } = this;
    if (leftMs > 0) {
      const delayMs = Math.min(leftMs, CHECK_INTERVAL_MS);
      this.opts.timer.after({ delayMs, notify: () => this.checkAll() });
    }
  }

  private check(call: CallInProgress): boolean {
    const { leftMs } = this;
    if (leftMs === Infinity || call.abort.signal.aborted) {
      return !call.abort.signal.aborted;
    }
    const { requestId, route, receivedAtMs, phase } = call;
    const neededMs = phase === 'staging' || phase === 'unsent' ? call.estimateMs(phase) : 0;
    if (leftMs > 0 && neededMs <= leftMs) {
      return true;
    }
    const tookMs = this.opts.timer.nowMs() - receivedAtMs;
    this.opts.onCallStopped({ requestId, route, phase, tookMs, neededMs, leftMs });
    call.abort.abort();
    return false;
  }
}
