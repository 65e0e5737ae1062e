import type { TimerService } from '@galenatiller/timer';
import type { CallPhase } from '@galenatiller/types';

/** A call that the stop of the router ended before its response was complete. */
export interface StoppedCallEvent {
  readonly requestId: string;
  readonly route: string;
  readonly phase: CallPhase;
  /** Time since the call was received. */
  readonly tookMs: number;
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
}

/** A call in progress, as far as the stop of the router is concerned. */
export interface TrackedCall {
  /** Records how far the call has come. */
  readonly enter: (phase: CallPhase) => void;
  readonly release: () => void;
}

interface CallInProgress extends TrackOptions {
  phase: CallPhase;
}

/** The calls in progress that the stop of the router ends. */
export class RouterStop {
  private readonly calls = new Set<CallInProgress>();

  private constructor(private readonly opts: RouterStopOptions) {}

  /** Creates the stop of a router that has not been asked to stop. */
  static create(opts: RouterStopOptions): RouterStop {
    return new RouterStop(opts);
  }

  /** Tracks a call until it is released. */
  track(opts: TrackOptions): TrackedCall {
    const call: CallInProgress = { ...opts, phase: 'receiving' };
    this.calls.add(call);
    return {
      enter: (phase) => {
        call.phase = phase;
      },
      release: () => {
        this.calls.delete(call);
      },
    };
  }

  /** Reports the calls that are left when the router ends. */
  reportCalls(): void {
    const nowMs = this.opts.timer.nowMs();
    this.calls.forEach(({ requestId, route, phase, receivedAtMs }) =>
      this.opts.onCallStopped({ requestId, route, phase, tookMs: nowMs - receivedAtMs }),
    );
  }
}
