import type { TimerService } from '@galenatiller/timer';
import type { BatchLimits } from '@galenatiller/types';

import { LearnedRoom } from './learnedRoom.js';
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
 * Tracks the memory that results take up on stage workers, and frees results that are not needed.
 */
export class ResultMemory {
  private readonly workers = new Map<string, WorkerResults>();

  private readonly reservedBytes = new Map<string, number>();

  private readonly learnedRoom = LearnedRoom.create();

  private lostCalls = 0;

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
    const bytes = this.countedBytes(address);
    const missingBytes = this.learnedRoom.missingBytes({ address, nowMs: this.opts.timer.nowMs() });
    const shareBytes = limits.resultMemoryBytes * share;
    // A worker that keeps nothing for this node always accepts one more result.
    return bytes === 0 && missingBytes === 0
      ? limits.resultMemoryBytes
      : Math.min(shareBytes, limits.resultMemoryBytes - missingBytes) - bytes;
  }

  /** Memory that results and batch calls in progress take up on a worker, as far as this node knows. */
  countedBytes(address: string): number {
    const keptBytes = this.workers.get(address)?.keptBytes(this.opts.timer.nowMs()) ?? 0;
    return (this.reservedBytes.get(address) ?? 0) + keptBytes;
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

  /** Records that a worker had no memory for a result beside those that this node knew of. */
  recordFull(opts: {
    readonly address: string;
    readonly limits: BatchLimits;
    /** Memory of the known results, with those of the same batch call. */
    readonly knownBytes: number;
    readonly resultBytes: number;
  }): void {
    this.learnedRoom.recordFull({ ...opts, nowMs: this.opts.timer.nowMs() });
  }

  /**
   * Counts the results of a batch call that the worker may have run, although no response came: without
   * their handles nothing can free them before they expire.
   */
  addLost(opts: {
    readonly address: string;
    readonly bytes: number;
    readonly limits: BatchLimits;
  }): void {
    this.lostCalls += 1;
    this.add({ ...opts, handle: `${opts.address}/lost ${this.lostCalls}` });
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

  /**
   * Frees results that are no longer needed, including those that another node requested. They count until
   * the worker has responded: a batch call on another connection may overtake the request.
   */
  free(handles: readonly string[]): void {
    handles.forEach((handle) => this.scheduleFree(toWorkerAddress(handle), handle));
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
        const recordFreed = (): void => this.recordFreed(address, handles);
        this.opts.freeResults({ address, handles }).then(recordFreed, recordFreed);
      },
    });
  }

  private recordFreed(address: string, handles: readonly string[]): void {
    const worker = this.workers.get(address);
    handles.forEach((handle) => worker?.remove(handle));
    this.opts.onMemoryFreed();
  }
}

/** IP:PORT of the worker that keeps a result. */
export function toWorkerAddress(handle: string): string {
  return handle.slice(0, handle.indexOf('/'));
}
