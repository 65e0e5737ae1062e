import {
  type AbandonedStageEvent,
  type BatchEvent,
  dispatchBatches,
  isStatedSlow,
  orderPieces,
  type PieceSuspects,
  type ResultMemory,
  type RunPieces,
  SeenHandles,
  StageQueue,
  type StageThroughput,
  toDurationFactor,
  toWorkerAddress,
  type UnevenEvent,
  WorkerSpeed,
} from '@galenatiller/pool';
import {
  getStartKey,
  type TargetDirectory,
  type TargetLoads,
  type TargetNotices,
  toTargetStart,
} from '@galenatiller/target';
import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type {
  BatchLimits,
  ExpectedLoad,
  PieceResult,
  PriorityWait,
  RegisteredTarget,
  StagePiece,
  TargetNotice,
} from '@galenatiller/types';

import type { ServiceShards, Shard } from './ownership/index.js';
import type { RouteTable } from './routeTable.js';

/** Options of {@link StageWorkers.create}. */
export interface StageWorkersOptions {
  readonly timer: TimerService;
  readonly routes: RouteTable;
  readonly targets: TargetDirectory;
  readonly notices: TargetNotices;
  readonly loads: TargetLoads;
  /** Whether a target must not get pieces, although it is ready. */
  readonly isExcluded: (target: RegisteredTarget) => boolean;
  readonly resultMemory: ResultMemory;
  readonly shards: ServiceShards;
  /**
   * Number of nodes that may send pieces to the workers of a shard together with this one, which
   * share their result memory and the attempts on full workers.
   */
  readonly countSenders: (shard: string) => number;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
  readonly suspects?: PieceSuspects;
  readonly runPieces: RunPieces;
  readonly onBatch: (event: BatchEvent) => void;
  readonly onStageAbandoned: (event: AbandonedStageEvent & { readonly service: string }) => void;
  /** Called when a worker takes a piece of a call that can't be on time. */
  readonly onDelayedTaken: (piece: StagePiece) => void;
  /** Called when a worker that states that it is slow takes less than it could. */
  readonly onUneven: (event: UnevenEvent) => void;
  /** Each stage worker has a task in this group. */
  readonly tasks: TaskGroup;
}

interface WorkerTask {
  readonly target: RegisteredTarget;
  readonly shard: Shard;
  readonly stop: AbortController;
}

/** The queues of the shards of stage services, and one task for each of their workers. */
export class StageWorkers {
  private readonly queues = new Map<string, StageQueue>();

  /** The tasks of workers by service, and by the start of the worker. */
  private readonly workerTasks = new Map<string, Map<string, WorkerTask>>();

  private readonly workerSpeed = WorkerSpeed.create();

  private readonly seenHandles: SeenHandles;

  private batches = 0;

  private pieces = 0;

  private constructor(private readonly opts: StageWorkersOptions) {
    this.seenHandles = SeenHandles.create(opts);
  }

  /** Creates an instance without queues and workers. */
  static create(opts: StageWorkersOptions): StageWorkers {
    return new StageWorkers(opts);
  }

  /** Submits a piece to the workers of a shard; undefined when it is handed back. */
  async submit(opts: {
    readonly service: string;
    /** Key of the shard; another one of the service is used if nodes disagree on how it is split. */
    readonly shard: string;
    readonly piece: StagePiece;
    readonly signal: AbortSignal;
    readonly onBegun?: (() => void) | undefined;
  }): Promise<PieceResult | undefined> {
    const { service, shard: key } = opts;
    this.pieces += 1;
    try {
      return await this.getQueue(this.opts.shards.resolve({ service, key })).submit(opts);
    } finally {
      this.pieces -= 1;
    }
  }

  /** Pieces that were submitted and have no result yet. */
  get piecesInProgress(): number {
    return this.pieces;
  }

  /** Time that a new piece would wait for a worker of a shard. */
  waitMs(opts: { readonly service: string; readonly shard: string }): number {
    const shard = this.opts.shards.resolve({ service: opts.service, key: opts.shard });
    const queued = this.queues.get(shard.key)?.length ?? 0;
    const { piecesPerMs } = this.throughput(shard);
    return piecesPerMs > 0 ? queued / piecesPerMs : NO_WORKER_WAIT_MS;
  }

  /** How long new pieces wait for the workers of a shard, by priority. */
  waits(opts: { readonly service: string; readonly shard: string }): readonly PriorityWait[] {
    const shard = this.opts.shards.resolve({ service: opts.service, key: opts.shard });
    return this.queues.get(shard.key)?.waits ?? [];
  }

  /** Whether any worker of a shard may get new work. */
  hasWorkers(shard: Shard): boolean {
    return this.accepting(shard).length > 0;
  }

  /** Number of calls to workers in progress. */
  get batchesInProgress(): number {
    return this.batches;
  }

  /** Hands back the pieces of a shard that wait for a worker, for those shards that are chosen. */
  handBack(isChosen: (shard: string) => boolean): void {
    this.queues.forEach((queue, shard) => {
      if (isChosen(shard)) {
        queue.handBack();
      }
    });
  }

  /** Wakes the tasks of workers that may have free result memory again. */
  notifyMemoryFreed(): void {
    this.queues.forEach((queue) => queue.wakeWorkers());
  }

  /**
   * Starts a task for each registered stage worker, and stops the tasks of those that are gone or
   * belong to another shard now; of some services only, if these are given.
   */
  refresh(services?: ReadonlySet<string>): void {
    const { targets } = this.opts;
    const affected =
      services ??
      new Set([...this.workerTasks.keys(), ...targets.all().map(({ service }) => service)]);
    affected.forEach((service) => this.refreshService(service));
  }

  private refreshService(service: string): void {
    const { targets, routes, shards } = this.opts;
    const isStageService = routes.findService(service)?.batch !== undefined;
    const registered = new Map(
      (isStageService ? targets.findRegistered(service) : []).map((target) => [
        getStartKey(target),
        target,
      ]),
    );
    const tasks = this.workerTasks.get(service) ?? new Map<string, WorkerTask>();
    this.workerTasks.set(service, tasks);
    tasks.forEach(({ stop, shard }, key) => {
      const target = registered.get(key);
      if (!target || shards.findShardOf(target).key !== shard.key) {
        tasks.delete(key);
        stop.abort();
      }
    });
    registered.forEach((target, key) => {
      if (!tasks.has(key)) {
        this.startWorker(target, tasks);
      }
    });
    if (tasks.size === 0) {
      this.workerTasks.delete(service);
    }
  }

  private startWorker(target: RegisteredTarget, known: Map<string, WorkerTask>): void {
    const { timer, routes, notices, resultMemory, runPieces, onBatch, tasks, suspects } = this.opts;
    const stop = new AbortController();
    const shard = this.opts.shards.findShardOf(target);
    known.set(getStartKey(target), { target, shard, stop });
    tasks.start(() =>
      dispatchBatches({
        timer,
        queue: this.getQueue(shard),
        target,
        limits: () => routes.findService(target.service)?.batch,
        isUsable: (worker) => this.canSend(worker),
        resultMemory,
        senders: () => this.opts.countSenders(shard.key),
        random: this.opts.random,
        workerSpeed: this.workerSpeed,
        seenHandles: this.seenHandles,
        ...(suspects && { suspects }),
        runPieces: (batch) => this.countBatch(runPieces(batch)),
        onBatch,
        onSent: (worker) => notices.recordSent(toTargetStart(worker)),
        onNotice: (worker, notice) => this.recordNotice(worker, notice),
        findLoad: () => this.findLoad(target),
        signal: stop.signal,
      }),
    );
  }

  private recordNotice(worker: RegisteredTarget, notice: TargetNotice): void {
    const target = toTargetStart(worker);
    this.opts.notices.record({ target, notice, source: 'stage-call' });
    // The call that has just ended is the only one of this node.
    this.opts.loads.record({ target, load: notice.load, ownRequests: 1 });
  }

  private findLoad(target: RegisteredTarget): ExpectedLoad | undefined {
    const { loads, routes } = this.opts;
    const limits = loads.hasAny && routes.findService(target.service)?.batch;
    return limits
      ? loads.find({ target: toTargetStart(target), workMs: computeCallMs(limits) })
      : undefined;
  }

  private async countBatch(run: ReturnType<RunPieces>): ReturnType<RunPieces> {
    this.batches += 1;
    try {
      return await run;
    } finally {
      this.batches -= 1;
    }
  }

  /** Throughput of the usable workers of a shard with full batches, at their present speed. */
  private throughput(shard: Shard): StageThroughput {
    const limits = this.opts.routes.findService(shard.service)?.batch;
    if (!limits) {
      return { piecesPerMs: 0, callMs: 0, pausedMs: 0 };
    }
    const callMs = computeCallMs(limits);
    const piecesPerMs = this.usable(shard)
      .map((target) => limits.maxPieces / (callMs * this.findSlowdown(target)))
      .reduce((sum, rate) => sum + rate, 0);
    const pausedMs = this.opts.notices.firstReturnMs(this.accepting(shard).map(toTargetStart));
    return { piecesPerMs, callMs, pausedMs: piecesPerMs === 0 ? (pausedMs ?? 0) : 0 };
  }

  private workerZones(shard: Shard): ReadonlySet<string> {
    const usable = this.usable(shard);
    return new Set(
      usable
        .filter((target) => this.isNormal(target))
        .map(({ availabilityZone }) => availabilityZone),
    );
  }

  private findSlowdown(target: RegisteredTarget): number {
    const stated = toDurationFactor(this.findLoad(target));
    return stated * this.workerSpeed.slowdown(target.address);
  }

  private isNormal(target: RegisteredTarget): boolean {
    const isSlow = isStatedSlow(this.findLoad(target));
    return !isSlow && this.workerSpeed.minWaitMs(target.address) === 0;
  }

  private usable(shard: Shard): readonly RegisteredTarget[] {
    return this.accepting(shard).filter((target) => this.canSend(target));
  }

  /** The workers of a shard that get pieces, now or once their pauses end. */
  private accepting({ service, key }: Shard): readonly RegisteredTarget[] {
    return [...(this.workerTasks.get(service)?.values() ?? [])]
      .filter(({ shard, target }) => shard.key === key && this.isAccepting(target))
      .map(({ target }) => target);
  }

  private isAccepting(target: RegisteredTarget): boolean {
    return this.opts.targets.isUsable(target) && !this.opts.isExcluded(target);
  }

  private canSend(target: RegisteredTarget): boolean {
    return this.isAccepting(target) && this.opts.notices.canSend(toTargetStart(target));
  }

  private getQueue(shard: Shard): StageQueue {
    const known = this.queues.get(shard.key);
    if (known) {
      return known;
    }
    const { timer, suspects } = this.opts;
    const queue = StageQueue.create({
      timer,
      order: orderPieces,
      inputZone: ({ inputs }) => this.findInputZone(inputs),
      throughput: () => this.throughput(shard),
      workerZones: () => this.workerZones(shard),
      onStageAbandoned: (event) => this.opts.onStageAbandoned({ ...event, service: shard.service }),
      onDelayedTaken: this.opts.onDelayedTaken,
      onUneven: this.opts.onUneven,
      ...(suspects && { isSuspect: suspects.isSuspect }),
    });
    this.queues.set(shard.key, queue);
    return queue;
  }

  /** Zone that keeps most of the inputs of a piece; empty when it has none. */
  findInputZone(inputs: readonly string[]): string {
    return this.opts.targets.findMajorityZone(inputs.map(toWorkerAddress));
  }
}

/** Usual duration of a full batch call. */
function computeCallMs({ callOverheadMs, pieceMs, maxPieces }: BatchLimits): number {
  return callOverheadMs + pieceMs * maxPieces;
}

/** Reported wait for a shard without usable workers, longer than any call can wait. */
const NO_WORKER_WAIT_MS = 60_000;
