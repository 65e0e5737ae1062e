import type { BatchLimits } from '@galenatiller/types';

interface MissingRoom {
  readonly bytes: number;
  readonly atMs: number;
  readonly lastsMs: number;
}

/** A result for which a worker had no memory. */
export interface FullWorker {
  readonly address: string;
  readonly limits: BatchLimits;
  /** Memory of the results on the worker that this node knew of. */
  readonly knownBytes: number;
  readonly resultBytes: number;
  readonly nowMs: number;
}

/**
 * How much less memory for results workers have than this node counts: sizes of results are approximate,
 * and an earlier owner of the service may have left results. Both are learned from results that found no
 * room. What is missing shrinks to nothing within the time for which results are kept, so that soon one
 * more result is tried where much is missing, and late where it is little.
 */
export class LearnedRoom {
  private readonly missing = new Map<string, MissingRoom>();

  private constructor() {}

  /** Creates an instance that takes all memory to be there. */
  static create(): LearnedRoom {
    return new LearnedRoom();
  }

  /** Records that a result found no room beside the known ones. */
  recordFull(opts: FullWorker): void {
    const { address, limits, knownBytes, resultBytes, nowMs } = opts;
    const missingBytes = limits.resultMemoryBytes - knownBytes - resultBytes / 2;
    if (missingBytes > this.missingBytes({ address, nowMs })) {
      this.missing.set(address, {
        bytes: missingBytes,
        atMs: nowMs,
        lastsMs: limits.resultTtlMs,
      });
    }
  }

  /** Memory that is not there; 0 when nothing says so. */
  missingBytes(opts: { readonly address: string; readonly nowMs: number }): number {
    const { address, nowMs } = opts;
    const missing = this.missing.get(address);
    if (!missing) {
      return 0;
    }
    const leftShare = 1 - (nowMs - missing.atMs) / missing.lastsMs;
    if (leftShare <= 0) {
      this.missing.delete(address);
      return 0;
    }
    return missing.bytes * leftShare;
  }
}
