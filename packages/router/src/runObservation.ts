import type { TimerService } from '@galenatiller/timer';
import type { RegisteredTarget } from '@galenatiller/types';

import { PaceMeter } from './paceMeter.js';
import type { ObservedRun } from './observedRun.js';
import type { Rollouts } from './rollouts.js';

/** Options of {@link RunObservation.create}. */
export interface RunObservationOptions {
  readonly timer: TimerService;
  readonly rollouts: Pick<Rollouts, 'observe'>;
  readonly target: RegisteredTarget;
  /** Name of the route of the call. */
  readonly route: string;
  readonly isStream: boolean;
  /** Time by which a stream may start later on a target that has no part of its prompt cached. */
  readonly startAllowanceMs: number;
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

  /** Whether data of the response has come in. */
  get hasStarted(): boolean {
    return this.meter.startedAtMs !== undefined;
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
    const paceMs = isStream ? this.meter.paceMs : timer.nowMs() - this.sentAtMs;
    this.record({ ending: isFailed ? 'failed' : 'good', paceMs });
  }

  /**
   * Records a run that its caller did not wait for, or that reached its deadline: a stream as far as it
   * came, and one of which the caller got nothing as lost.
   */
  abandon(): void {
    const { paceMs, startedAtMs } = this.meter;
    if (startedAtMs === undefined) {
      this.record({ ending: 'lost', paceMs: undefined });
    } else if (this.opts.isStream) {
      this.record({ ending: 'good', paceMs });
    }
  }

  private record(run: Pick<ObservedRun, 'ending' | 'paceMs'>): void {
    if (!this.isRecorded) {
      this.isRecorded = true;
      const { rollouts, target, route } = this.opts;
      rollouts.observe({ target, route, start: this.findStart(), ...run });
    }
  }

  private findStart(): ObservedRun['start'] {
    const { startedAtMs } = this.meter;
    if (!this.opts.isStream || startedAtMs === undefined) {
      return undefined;
    }
    return { tookMs: startedAtMs - this.sentAtMs, allowanceMs: this.opts.startAllowanceMs };
  }
}
