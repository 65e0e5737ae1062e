import {
  type AbandonedStageEvent,
  type BatchEvent,
  comparePieces,
  dispatchBatches,
  type FindInputZone,
  type ResultMemory,
  type RunPieces,
  SeenHandles,
  StageQueue,
  type StageThroughput,
  toWorkerAddress,
  WorkerSpeed,
} from '@galenatiller/pool';
import {
  getStartKey,
  type TargetDirectory,
  type TargetNotices,
  toTargetStart,
} from '@galenatiller/target';
import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type { PieceResult, RegisteredTarget, StagePiece } from '@galenatiller/types';

import type { RouteTable } from './routeTable.js';

/** Options of {@link StageWorkers.create}. */
export interface StageWorkersOptions {
  readonly timer: TimerService;
  readonly routes: RouteTable;
  readonly targets: TargetDirectory;
  readonly notices: TargetNotices;
  /** Whether a target must not get pieces, although it is ready. */
  readonly isExcluded: (target: RegisteredTarget) => boolean;
  readonly resultMemory: ResultMemory;
  /** Share of the result memory of a service's workers that this node may use. */
  readonly memoryShare: (service: string) => number;
  readonly runPieces: RunPieces;
  readonly onBatch: (event: BatchEvent) => void;
  readonly onStageAbandoned: (event: AbandonedStageEvent & { readonly service: string }) => void;
  /** Each stage worker has a task in this group. */
  readonly tasks: TaskGroup;
}

interface WorkerTask {
  readonly target: RegisteredTarget;
  readonly stop: AbortController;
}

/** The queues of the stage services, and one task for each of their workers. */
export class StageWorkers {
  private readonly queues = new Map<string, StageQueue>();

  private readonly workerTasks = new Map<string, WorkerTask>();

  private readonly workerSpeed = WorkerSpeed.create();

  private readonly seenHandles: SeenHandles;

  private batches = 0;

  private constructor(private readonly opts: StageWorkersOptions) {
    this.seenHandles = SeenHandles.create(opts);
  }

  /** Creates an instance without queues and workers. */
  static create(opts: StageWorkersOptions): StageWorkers {
    return new StageWorkers(opts);
  }

  /** Submits a piece to the workers of a service; undefined when it is handed back. */
  submit(opts: {
    readonly service: string;
    readonly piece: StagePiece;
    readonly signal: AbortSignal;
  }): Promise<PieceResult | undefined> {
    return this.getQueue(opts.service).submit(opts);
  }

  /** Number of pieces that wait for the workers of a service. */
  queuedPieces(service: string): number {
    return this.queues.get(service)?.length ?? 0;
  }

  /** Number of calls to workers in progress. */
  get batchesInProgress(): number {
    return this.batches;
  }

  /** Hands back the pieces of a service that wait for a worker, for those services that are chosen. */
  handBack(isChosen: (service: string) => boolean): void {
    this.queues.forEach((queue, service) => {
      if (isChosen(service)) {
        queue.handBack();
      }
    });
  }

  /** Wakes the tasks of workers that may have free result memory again. */
  notifyMemoryFreed(): void {
    this.queues.forEach((queue) => queue.wakeWorkers());
  }

  /** Starts a task for each registered stage worker, and stops the tasks of those that are gone. */
  refresh(): void {
    const { targets, routes } = this.opts;
    const registered = targets
      .all()
      .filter(({ service }) => routes.findService(service)?.batch !== undefined);
    const keys = new Set(registered.map(getStartKey));
    this.workerTasks.forEach(({ stop }, key) => {
      if (!keys.has(key)) {
        this.workerTasks.delete(key);
        stop.abort();
      }
    });
    registered
      .filter((target) => !this.workerTasks.has(getStartKey(target)))
      .forEach((target) => this.startWorker(target));
  }

  private startWorker(target: RegisteredTarget): void {
    const { timer, routes, notices, resultMemory, memoryShare, runPieces, onBatch, tasks } =
      this.opts;
    const stop = new AbortController();
    this.workerTasks.set(getStartKey(target), { target, stop });
    tasks.start(() =>
      dispatchBatches({
        timer,
        queue: this.getQueue(target.service),
        target,
        limits: () => routes.findService(target.service)?.batch,
        isUsable: (worker) => this.canSend(worker),
        resultMemory,
        memoryShare: () => memoryShare(target.service),
        workerSpeed: this.workerSpeed,
        seenHandles: this.seenHandles,
        runPieces: (batch) => this.countBatch(runPieces(batch)),
        onBatch,
        onSent: (worker) => notices.recordSent(toTargetStart(worker)),
        onNotice: (worker, notice) =>
          notices.record({ target: toTargetStart(worker), notice, source: 'stage-call' }),
        signal: stop.signal,
      }),
    );
  }

  private async countBatch(run: ReturnType<RunPieces>): ReturnType<RunPieces> {
    this.batches += 1;
    try {
      return await run;
    } finally {
      this.batches -= 1;
    }
  }

  /** Throughput of the usable workers of a service with full batches, at their present speed. */
  private throughput(service: string): StageThroughput {
    const limits = this.opts.routes.findService(service)?.batch;
    if (!limits) {
      return { piecesPerMs: 0, callMs: 0, pausedMs: 0 };
    }
    const callMs = limits.callOverheadMs + limits.pieceMs * limits.maxPieces;
    const piecesPerMs = this.usable(service)
      .map(({ address }) => limits.maxPieces / (callMs * this.workerSpeed.slowdown(address)))
      .reduce((sum, rate) => sum + rate, 0);
    const pausedMs = this.opts.notices.firstReturnMs(this.accepting(service).map(toTargetStart));
    return { piecesPerMs, callMs, pausedMs: piecesPerMs === 0 ? (pausedMs ?? 0) : 0 };
  }

  private workerZones(service: string): ReadonlySet<string> {
    const usable = this.usable(service);
    return new Set(
      usable
        .filter(({ address }) => this.workerSpeed.minWaitMs(address) === 0)
        .map(({ availabilityZone }) => availabilityZone),
    );
  }

  private usable(service: string): readonly RegisteredTarget[] {
    return this.accepting(service).filter((target) => this.canSend(target));
  }

  /** The workers of a service that get pieces, now or once their pauses end. */
  private accepting(service: string): readonly RegisteredTarget[] {
    return [...this.workerTasks.values()]
      .map(({ target }) => target)
      .filter((target) => target.service === service && this.isAccepting(target));
  }

  private isAccepting(target: RegisteredTarget): boolean {
    return this.opts.targets.isUsable(target) && !this.opts.isExcluded(target);
  }

  private canSend(target: RegisteredTarget): boolean {
    return this.isAccepting(target) && this.opts.notices.canSend(toTargetStart(target));
  }

  private getQueue(service: string): StageQueue {
    const known = this.queues.get(service);
    if (known) {
      return known;
    }
    const { timer, targets } = this.opts;
    const inputZone: FindInputZone = ({ inputs }) =>
      targets.findMajorityZone(inputs.map(toWorkerAddress));
    const queue = StageQueue.create({
      timer,
      compare: comparePieces,
      inputZone,
      throughput: () => this.throughput(service),
      workerZones: () => this.workerZones(service),
      onStageAbandoned: (event) => this.opts.onStageAbandoned({ ...event, service }),
    });
    this.queues.set(service, queue);
    return queue;
  }
}
