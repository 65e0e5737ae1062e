import { type CandidateWorker, leaveToFaster, type WaitingPiece } from './leaveToFaster.js';
import type { TakeOptions } from './takeOptions.js';
import { expectCallMs } from './workerLoad.js';

interface ListedWorker {
  readonly opts: TakeOptions;
  /** Unset while a call is in progress. */
  readonly idleSinceMs?: number;
  /** Expected end of the call in progress. */
  readonly endsAtMs: number;
}

/**
 * An idle worker takes waiting pieces as soon as it is woken; one that still has not after this time does not
 * take them.
 */
const TAKES_WITHIN_MS = 20;

/** Where several nodes send to the same workers, each of them considers this many others. */
const SAMPLED = 2;

/** The workers of a queue that state how long work takes on them: which are idle, and when the others will be. */
export class WorkerRoster {
  private readonly workers = new Map<string, ListedWorker>();

  private constructor() {}

  /** Creates an empty roster. */
  static create(): WorkerRoster {
    return new WorkerRoster();
  }

  /** Records that a worker waits for pieces. */
  recordIdle(opts: TakeOptions, nowMs: number): void {
    this.workers.set(opts.target.id, { opts, idleSinceMs: nowMs, endsAtMs: nowMs });
  }

  /** Records that a worker has taken pieces, or none because its task ends. */
  recordTaken(opts: TakeOptions, pieces: number, nowMs: number): void {
    if (pieces === 0) {
      // Another start of the worker may have been listed since.
      if (this.workers.get(opts.target.id)?.opts === opts) {
        this.workers.delete(opts.target.id);
      }
      return;
    }
    const { limits, target } = opts;
    const load = opts.uneven?.findLoad();
    const endsAtMs = nowMs + expectCallMs({ load, limits, pieces, slots: target.slots });
    this.workers.set(target.id, { opts, endsAtMs });
  }

  /** Pieces that a worker should take, without those that faster workers would end earlier. */
  leaveToFaster<Piece extends WaitingPiece>(
    opts: TakeOptions,
    ordered: readonly Piece[],
    nowMs: number,
  ): readonly Piece[] {
    const { target, limits } = opts;
    const load = opts.uneven?.findLoad();
    const [first] = ordered;
    if (!load || !first) {
      return ordered;
    }
    const { availabilityZone: zone, slots } = target;
    const others = this.findOthers(opts, first.queuedSinceMs, nowMs);
    return leaveToFaster({ ordered, limits, own: { zone, slots, load }, others });
  }

  /** Other workers that may take a piece which waits since a time. */
  private findOthers(own: TakeOptions, sinceMs: number, nowMs: number): readonly CandidateWorker[] {
    const others = [...this.workers.values()].filter(
      (worker) =>
        worker.opts.target.id !== own.target.id &&
        !worker.opts.signal.aborted &&
        worker.opts.minWaitMs === 0 &&
        (worker.opts.uneven?.isUsable() ?? false) &&
        (worker.idleSinceMs === undefined
          ? worker.endsAtMs > nowMs
          : Math.max(worker.idleSinceMs, sinceMs) + TAKES_WITHIN_MS >= nowMs),
    );
    return sample(own, others).map(({ opts, endsAtMs }) => ({
      zone: opts.target.availabilityZone,
      slots: opts.target.slots,
      load: opts.uneven?.findLoad(),
      readyInMs: Math.max(0, endsAtMs - nowMs),
      availableBytes: opts.availableBytes,
    }));
  }
}

/** All others if this node is the only sender; otherwise a few, so that nodes don't all wait for the same one. */
function sample({ uneven }: TakeOptions, others: readonly ListedWorker[]): readonly ListedWorker[] {
  if (!uneven || uneven.senders() === 1) {
    return others;
  }
  const first = Math.floor(uneven.random() * others.length);
  return [...others.slice(first), ...others.slice(0, first)].slice(0, SAMPLED);
}
