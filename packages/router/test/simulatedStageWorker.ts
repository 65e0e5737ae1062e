import { type RunPieces, toWorkerAddress } from '@galenatiller/pool';
import type { TimerService } from '@galenatiller/timer';
import type { BatchLimits, PieceResult, RegisteredTarget, StagePiece } from '@galenatiller/types';

/** What a worker has counted. */
export interface StageWorkerCounts {
  calls: number;
  pieces: number;
  callsWithoutRoom: number;
  noRoom: number;
  inputsGone: number;
  /** Results that were made, and those of them that were fetched. */
  made: number;
  used: number;
}

interface StoredResult {
  readonly bytes: number;
  readonly madeAtMs: number;
  expiresAtMs: number;
  isUsed: boolean;
}

/** Options of {@link SimulatedStageWorker.create}. */
export interface StageWorkerOptions {
  readonly timer: TimerService;
  readonly target: RegisteredTarget;
  readonly limits: BatchLimits;
  readonly random: () => number;
  /** Largest relative difference of the size of a result from the configured one. */
  readonly sizeSpread: number;
  /** Finds a worker by its address. */
  readonly find: (address: string) => SimulatedStageWorker | undefined;
}

/** A call waits at a worker behind at most this many others. */
const MAX_WAITING = 2;

const BYTES_PER_MS = 1_250_000;

/** Time of a request on its way to a worker, which differs by connection. */
const MIN_TRANSIT_MS = 0.4;
const TRANSIT_SPREAD_MS = 1.2;

/**
 * A stage worker without a network: it runs one call at a time, fetches the inputs when the turn of a
 * call comes, and keeps results until they are freed or expire.
 */
export class SimulatedStageWorker {
  readonly counts: StageWorkerCounts = {
    calls: 0,
    pieces: 0,
    callsWithoutRoom: 0,
    noRoom: 0,
    inputsGone: 0,
    made: 0,
    used: 0,
  };

  private readonly results = new Map<string, StoredResult>();

  private usedBytes = 0;

  private nextHandle = 0;

  private calls = 0;

  private turn: Promise<unknown> = Promise.resolve();

  private constructor(private readonly opts: StageWorkerOptions) {}

  /** Creates a worker without results. */
  static create(opts: StageWorkerOptions): SimulatedStageWorker {
    return new SimulatedStageWorker(opts);
  }

  /** Runs one batch call. */
  readonly run: RunPieces = async ({ pieces, signal }) => {
    await this.transit();
    if (this.calls > MAX_WAITING) {
      return { kind: 'refused', detail: 'the worker is full' };
    }
    this.calls += 1;
    const ended = this.turn.then(() => (signal.aborted ? undefined : this.work(pieces)));
    this.turn = ended;
    const results = await Promise.race([ended, whenAborted(signal)]);
    return results
      ? { kind: 'answered', results, discard: () => {} }
      : { kind: 'broken', detail: 'the call was cancelled' };
  };

  /** Frees results. */
  async free(handles: readonly string[]): Promise<void> {
    await this.transit();
    handles.forEach((handle) => this.remove(handle));
    await this.transit();
  }

  /** Bytes of a result, for the one who fetches it; undefined when it is gone. */
  fetch(handle: string): number | undefined {
    this.removeExpired();
    const result = this.results.get(handle);
    if (result && !result.isUsed) {
      result.isUsed = true;
      this.counts.used += 1;
    }
    return result?.bytes;
  }

  /** Time since the start of the call that made a result; undefined when it is gone. */
  ageMs(handle: string): number | undefined {
    const result = this.results.get(handle);
    return result ? this.opts.timer.nowMs() - result.madeAtMs : undefined;
  }

  private transit(): Promise<void> {
    const delayMs = MIN_TRANSIT_MS + this.opts.random() * TRANSIT_SPREAD_MS;
    return this.opts.timer.sleep({ delayMs });
  }

  private async work(pieces: readonly StagePiece[]): Promise<readonly PieceResult[]> {
    const { timer, limits, target } = this.opts;
    const startedAtMs = timer.nowMs();
    this.removeExpired();
    const inputs = new Set(pieces.flatMap((piece) => piece.inputs));
    const sizes = new Map(
      [...inputs].map((handle) => [handle, this.opts.find(toWorkerAddress(handle))?.fetch(handle)]),
    );
    const made: string[] = [];
    const results = pieces.map((piece): PieceResult => {
      const bytes = piece.resultBytes * (1 + this.opts.sizeSpread * (2 * this.opts.random() - 1));
      if (piece.inputs.some((handle) => sizes.get(handle) === undefined)) {
        this.counts.inputsGone += 1;
        return { kind: 'failed', reason: 'input-gone' };
      }
      if (this.usedBytes + bytes > limits.resultMemoryBytes) {
        this.counts.noRoom += 1;
        return { kind: 'failed', reason: 'no-room' };
      }
      const handle = `${target.address}/${this.nextHandle}`;
      this.nextHandle += 1;
      this.results.set(handle, {
        bytes,
        madeAtMs: startedAtMs,
        expiresAtMs: Infinity,
        isUsed: false,
      });
      this.usedBytes += bytes;
      made.push(handle);
      return { kind: 'made', handle };
    });
    const fetchMs = [...sizes.values()].reduce<number>(
      (sum, bytes) => sum + (bytes ?? 0) / BYTES_PER_MS,
      1,
    );
    await timer.sleep({
      delayMs: fetchMs + limits.callOverheadMs + limits.pieceMs * pieces.length,
    });
    this.calls -= 1;
    this.count(results);
    const expiresAtMs = timer.nowMs() + limits.resultTtlMs;
    made.forEach((handle) => {
      const result = this.results.get(handle);
      if (result) {
        result.expiresAtMs = expiresAtMs;
      }
    });
    await this.transit();
    return results;
  }

  private count(results: readonly PieceResult[]): void {
    const isFull = results.some(
      (result) => result.kind === 'failed' && result.reason === 'no-room',
    );
    this.counts.calls += 1;
    this.counts.pieces += results.length;
    this.counts.callsWithoutRoom += isFull ? 1 : 0;
    this.counts.made += results.filter(({ kind }) => kind === 'made').length;
  }

  private removeExpired(): void {
    const nowMs = this.opts.timer.nowMs();
    [...this.results]
      .filter(([, { expiresAtMs }]) => expiresAtMs <= nowMs)
      .forEach(([handle]) => this.remove(handle));
  }

  private remove(handle: string): void {
    const result = this.results.get(handle);
    if (result) {
      this.results.delete(handle);
      this.usedBytes -= result.bytes;
    }
  }
}

function whenAborted(signal: AbortSignal): Promise<undefined> {
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(undefined), { once: true });
  });
}
