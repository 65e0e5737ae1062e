import type { TimerService } from '@galenatiller/timer';
import type { RegisteredTarget } from '@galenatiller/types';

import { PaceMeter } from './paceMeter.js';
import type { Rollouts } from './rollouts.js';

/** Options of {@link RunObservation.create}. */
export interface RunObservationOptions {
  readonly timer: TimerService;
  readonly rollouts: Pick<Rollouts, 'observe'>;
  readonly target: RegisteredTarget;
  /** Name of the route of the call. */
  readonly route: string;
  readonly isStream: boolean;
}

/** Observes one run of a call for the rollout of its service, and records it once. */
export class RunObservation {
  private readonly sentAtMs: number;

  private readonly meter: PaceMeter;

  private isRecorded = false;

  private constructor(private readonly opts: RunObservationOptions) {
    const { timer } = opts;
    this.sentAtMs = timer.nowMs();
    this.meter = PaceMeter.create({ nowMs: () => timer.nowMs() });
  }

  /** Creates the observation of a run that is about to be sent. */
  static create(opts: RunObservationOptions): RunObservation {
    return new RunObservation(opts);
  }

  /** Counts events of the response; a long stream is recorded before its end. */
  addEvents(events: number): void {
    this.meter.add(events);
    if (this.opts.isStream && this.meter.isDone) {
      this.end({ isFailed: false });
    }
  }

  /** Records the run as ended. */
  end({ isFailed }: { readonly isFailed: boolean }): void {
    const { timer, isStream } = this.opts;
    this.record(isFailed, isStream ? this.meter.paceMs : timer.nowMs() - this.sentAtMs);
  }

  /** Records a stream as far as it came; a caller that leaves says nothing else about the target. */
  abandon(): void {
    const { paceMs } = this.meter;
    if (this.opts.isStream && paceMs !== undefined) {
      this.record(false, paceMs);
    }
  }

  private record(isFailed: boolean, paceMs: number | undefined): void {
    if (!this.isRecorded) {
      this.isRecorded = true;
      const { rollouts, target, route } = this.opts;
      rollouts.observe({ target, route, isFailed, paceMs });
    }
  }
}
