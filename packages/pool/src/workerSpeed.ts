/** How a worker's calls compare with their usual time. */
interface Speed {
  /** Smoothed ratio of the time taken to the usual time. */
  readonly ratio: number;
  readonly usualMs: number;
}

/** Weight of the newest call; a worker that turned slow shows after two calls. */
const NEWEST_WEIGHT = 0.5;

/** Ratio that a failed call counts as. */
const FAILED_RATIO = 4;

/** Calls wait at a worker behind those of other nodes; up to this ratio that is no sign of slowness. */
const USUAL_RATIO = 2.2;

/** Slow workers are kept from getting work only while faster ones come to take it. */
export class WorkerSpeed {
  private readonly speeds = new Map<string, Speed>();

  private constructor() {}

  /** Makes a record without calls. */
  static create(): WorkerSpeed {
    return new WorkerSpeed();
  }

  /** Takes the time of a call that was answered. */
  recordSuccess(opts: {
    readonly address: string;
    readonly tookMs: number;
    readonly usualMs: number;
  }): void {
    const { address, tookMs, usualMs } = opts;
    this.note(address, tookMs / usualMs, usualMs);
  }

  /** Takes a call that was not answered. */
  recordFailure(address: string): void {
    const usualMs = this.speeds.get(address)?.usualMs ?? 0;
    this.note(address, FAILED_RATIO, usualMs);
  }

  /** Smoothed ratio of the time taken to the usual time, at least 1. */
  slowdown(address: string): number {
    return Math.max(1, this.speeds.get(address)?.ratio ?? 1);
  }

  /** Time that a piece should have waited before a slow worker takes it; 0 for a usual one. */
  minWaitMs(address: string): number {
    const speed = this.speeds.get(address);
    if (!speed || speed.ratio <= USUAL_RATIO) {
      return 0;
    }
    return (speed.ratio - 1) * speed.usualMs;
  }

  private note(address: string, ratio: number, usualMs: number): void {
    const before = this.speeds.get(address)?.ratio ?? ratio;
    const smoothed = before + (ratio - before) * NEWEST_WEIGHT;
    this.speeds.set(address, { ratio: smoothed, usualMs });
  }
}
