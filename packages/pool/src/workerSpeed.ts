/** How long a worker's batch calls take, compared with their expected duration. */
interface Speed {
  /** Smoothed ratio of actual to expected duration. */
  readonly ratio: number;
  readonly expectedMs: number;
}

/** Weight of the newest batch call; a worker that became slow is detected after two of them. */
const NEWEST_WEIGHT = 0.5;

/** Ratio that a failed batch call is counted with. */
const FAILED_RATIO = 4;

/** Up to this ratio a batch call may just have waited at the worker behind those of other nodes. */
const MAX_NORMAL_RATIO = 2.2;

/**
 * Detects slow workers. They get a piece only after it has waited long enough for a faster worker
 * to take it.
 */
export class WorkerSpeed {
  private readonly speeds = new Map<string, Speed>();

  private constructor() {}

  /** Creates a record without batch calls. */
  static create(): WorkerSpeed {
    return new WorkerSpeed();
  }

  /** Records the duration of a batch call that got a response. */
  recordSuccess(opts: {
    readonly address: string;
    readonly tookMs: number;
    readonly expectedMs: number;
  }): void {
    const { address, tookMs, expectedMs } = opts;
    this.update(address, tookMs / expectedMs, expectedMs);
  }

  /** Records a batch call that got no response. */
  recordFailure(address: string): void {
    const expectedMs = this.speeds.get(address)?.expectedMs ?? 0;
    this.update(address, FAILED_RATIO, expectedMs);
  }

  /** Smoothed ratio of actual to expected duration, at least 1. */
  slowdown(address: string): number {
    return Math.max(1, this.speeds.get(address)?.ratio ?? 1);
  }

  /** Time that a piece has to have waited before a slow worker takes it; 0 for a normal worker. */
  minWaitMs(address: string): number {
    const speed = this.speeds.get(address);
    if (!speed || speed.ratio <= MAX_NORMAL_RATIO) {
      return 0;
    }
    return (speed.ratio - 1) * speed.expectedMs;
  }

  private update(address: string, ratio: number, expectedMs: number): void {
    const before = this.speeds.get(address)?.ratio ?? ratio;
    const smoothed = before + (ratio - before) * NEWEST_WEIGHT;
    this.speeds.set(address, { ratio: smoothed, expectedMs });
  }
}
