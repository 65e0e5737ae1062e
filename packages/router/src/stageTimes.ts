import { SmoothedDurations } from '@galenatiller/timer';

/** A call of a route with few calls still finds measured times. */
const EXPIRE_AFTER_MS = 10_000;

/** A stage of the calls of a route. */
export interface RouteStagePosition {
  readonly route: string;
  readonly position: number;
}

/** Measured times of stages, from the submission of their pieces to the last result. */
export class StageTimes {
  private readonly durations = SmoothedDurations.create({ expireAfterMs: EXPIRE_AFTER_MS });

  private constructor() {}

  /** Creates an instance without measured times. */
  static create(): StageTimes {
    return new StageTimes();
  }

  /** Adds the duration of a stage that has its results. */
  observe(
    opts: RouteStagePosition & { readonly durationMs: number; readonly nowMs: number },
  ): void {
    const { durationMs, nowMs } = opts;
    this.durations.observe({ name: toName(opts), durationMs, nowMs });
  }

  /** Mean time of a stage; 0 when unknown. */
  usualMs(opts: RouteStagePosition & { readonly nowMs: number }): number {
    return this.durations.estimateMs({ name: toName(opts), nowMs: opts.nowMs });
  }

  /** Time that few of the stages exceed; 0 when unknown. */
  longMs(opts: RouteStagePosition & { readonly nowMs: number }): number {
    return this.durations.longMs({ name: toName(opts), nowMs: opts.nowMs });
  }
}

function toName({ route, position }: RouteStagePosition): string {
  return `${route} ${position}`;
}
