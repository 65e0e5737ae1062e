import type { TimerService } from '@galenatiller/timer';
import type { BatchLimits } from '@galenatiller/types';

/** Options of {@link ResultMemory.create}. */
export interface ResultMemoryOptions {
  readonly timer: TimerService;
  /** Tells the maker that results are not needed any more. */
  readonly freeResults: (opts: {
    readonly address: string;
    readonly handles: readonly string[];
  }) => Promise<void>;
  readonly onMemoryFreed: () => void;
}

interface HeldResult {
  readonly bytes: number;
  readonly expiresAtMs: number;
}

/** Results that are given up within this time are freed by one call. */
const GATHER_MS = 15;

/** A worker without room gets no new pieces for this time, or until results on it are freed. */
const FULL_MS = 60;

/** Counts the results that lie at stage workers, and frees them when they are not needed. */
export class ResultMemory {
  private readonly held = new Map<string, HeldResult>();

  private readonly reservedBytes = new Map<string, number>();

  private readonly fullUntilMs = new Map<string, number>();

  private readonly toFree = new Map<string, string[]>();

  private constructor(private readonly opts: ResultMemoryOptions) {}

  /** Makes a count without results. */
  static create(opts: ResultMemoryOptions): ResultMemory {
    return new ResultMemory(opts);
  }

  /** Bytes of results that a worker still has room for within this node's share of it. */
  availableBytes(opts: {
    readonly address: string;
    readonly limits: BatchLimits;
    readonly share: number;
  }): number {
    const { address, limits, share } = opts;
    const nowMs = this.opts.timer.nowMs();
    if ((this.fullUntilMs.get(address) ?? 0) > nowMs) {
      return 0;
    }
    let bytes = this.reservedBytes.get(address) ?? 0;
    this.held.forEach((result, handle) => {
      if (result.expiresAtMs <= nowMs) {
        this.held.delete(handle);
      } else if (toWorkerAddress(handle) === address) {
        bytes += result.bytes;
      }
    });
    const shareBytes = limits.resultMemoryBytes * share;
    // A worker that holds nothing of this node always takes one result more.
    return bytes === 0 ? limits.resultMemoryBytes : shareBytes - bytes;
  }

  /** Counts the results of a call that is on its way. */
  reserve(address: string, bytes: number): void {
    this.reservedBytes.set(address, (this.reservedBytes.get(address) ?? 0) + bytes);
  }

  /** Ends a reservation. */
  releaseReservation(address: string, bytes: number): void {
    this.reservedBytes.set(address, (this.reservedBytes.get(address) ?? 0) - bytes);
    this.opts.onMemoryFreed();
  }

  /** Notes that a worker had no room for a result. */
  recordFull(address: string): void {
    this.fullUntilMs.set(address, this.opts.timer.nowMs() + FULL_MS);
  }

  /** Counts a result that was made. */
  add(opts: {
    readonly handle: string;
    readonly bytes: number;
    readonly limits: BatchLimits;
  }): void {
    const { handle, bytes, limits } = opts;
    const expiresAtMs = this.opts.timer.nowMs() + limits.resultTtlMs;
    this.held.set(handle, { bytes, expiresAtMs });
  }

  /** Frees results that nobody needs any more, also those that another node had made. */
  free(handles: readonly string[]): void {
    handles.forEach((handle) => {
      this.held.delete(handle);
      this.gather(toWorkerAddress(handle), handle);
    });
  }

  private gather(address: string, handle: string): void {
    const gathered = this.toFree.get(address);
    if (gathered) {
      gathered.push(handle);
      return;
    }
    this.toFree.set(address, [handle]);
    this.opts.timer.after({
      delayMs: GATHER_MS,
      notify: () => {
        const handles = this.toFree.get(address) ?? [];
        this.toFree.delete(address);
        this.fullUntilMs.delete(address);
        this.opts.freeResults({ address, handles }).catch(() => {});
        this.opts.onMemoryFreed();
      },
    });
  }
}

/** IP:PORT of the worker that made a result. */
export function toWorkerAddress(handle: string): string {
  return handle.slice(0, handle.indexOf('/'));
}
