import type { TimerService } from '@galenatiller/timer';
import type { BatchLimits } from '@galenatiller/types';

import { WorkerResults } from './workerResults.js';

/** Options of {@link ResultMemory.create}. */
export interface ResultMemoryOptions {
  readonly timer: TimerService;
  /** Tells the worker that keeps the results that they are no longer needed. */
  readonly freeResults: (opts: {
    readonly address: string;
    readonly handles: readonly string[];
  }) => Promise<void>;
  /** Time for which nothing may be sent to a worker; 0 when it accepts requests. */
  readonly pausedMs: (address: string) => number;
  /** Called when a worker may have memory for results again. */
  readonly onMemoryFreed: () => void;
}

/** Results on a worker that are freed within this time share one request to it. */
const FREE_DELAY_MS = 15;

/**
 * A worker without memory for results gets no new pieces for this time, or until results on it are
 * freed.
 */
const FULL_PAUSE_MS = 60;

/**
 * Tracks the memory that results take up on stage workers, and frees results that are not needed.
 */
export class ResultMemory {
  private readonly workers = new Map<string, WorkerResults>();

  private readonly reservedBytes = new Map<string, number>();

  private readonly fullUntilMs = new Map<string, number>();

  private readonly pendingFrees = new Map<string, string[]>();

  private constructor(private readonly opts: ResultMemoryOptions) {}

  /** Creates a tracker without results. */
  static create(opts: ResultMemoryOptions): ResultMemory {
    return new ResultMemory(opts);
  }

  /** Result memory that is left on a worker within this node's share of it. */
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
    const bytes =
      (this.reservedBytes.get(address) ?? 0) + (this.workers.get(address)?.keptBytes(nowMs) ?? 0);
    const shareBytes = limits.resultMemoryBytes * share;
    // A worker that keeps nothing for this node always accepts one more result.
    return bytes === 0 ? limits.resultMemoryBytes : shareBytes - bytes;
  }

  /** Reserves memory for the results of a batch call that is in progress. */
  reserve(address: string, bytes: number): void {
    this.reservedBytes.set(address, (this.reservedBytes.get(address) ?? 0) + bytes);
  }

  /** Releases a reservation. */
  releaseReservation(address: string, bytes: number): void {
    this.reservedBytes.set(address, (this.reservedBytes.get(address) ?? 0) - bytes);
    this.opts.onMemoryFreed();
  }

  /** Records that a worker had no memory for a result. */
  recordFull(address: string): void {
    this.fullUntilMs.set(address, this.opts.timer.nowMs() + FULL_PAUSE_MS);
  }

  /** Counts the memory of a result that a worker keeps. */
  add(opts: {
    readonly handle: string;
    readonly bytes: number;
    readonly limits: BatchLimits;
  }): void {
    const { handle, bytes, limits } = opts;
    const expiresAtMs = this.opts.timer.nowMs() + limits.resultTtlMs;
    const address = toWorkerAddress(handle);
    const worker = this.workers.get(address) ?? WorkerResults.create();
    worker.add({ handle, bytes, expiresAtMs });
    this.workers.set(address, worker);
  }

  /** Frees results that are no longer needed, including those that another node requested. */
  free(handles: readonly string[]): void {
    handles.forEach((handle) => {
      const address = toWorkerAddress(handle);
      this.workers.get(address)?.remove(handle);
      this.scheduleFree(address, handle);
    });
  }

  private scheduleFree(address: string, handle: string): void {
    const pending = this.pendingFrees.get(address);
    if (pending) {
      pending.push(handle);
      return;
    }
    this.pendingFrees.set(address, [handle]);
    this.sendFreesAfter(address, this.opts.pausedMs(address) + FREE_DELAY_MS);
  }

  private sendFreesAfter(address: string, delayMs: number): void {
    this.opts.timer.after({
      delayMs,
      notify: () => {
        const pausedMs = this.opts.pausedMs(address);
        if (pausedMs > 0) {
          this.sendFreesAfter(address, pausedMs + FREE_DELAY_MS);
          return;
        }
        const handles = this.pendingFrees.get(address) ?? [];
        this.pendingFrees.delete(address);
        this.fullUntilMs.delete(address);
        this.opts.freeResults({ address, handles }).catch(() => {});
        this.opts.onMemoryFreed();
      },
    });
  }
}

/** IP:PORT of the worker that keeps a result. */
export function toWorkerAddress(handle: string): string {
  return handle.slice(0, handle.indexOf('/'));
}
