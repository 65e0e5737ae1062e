import {
  type BatchEvent,
  comparePieces,
  type AbandonedStageEvent,
  type FindInputZone,
  toWorkerAddress,
  type ResultMemory,
  type RunPieces,
  SeenHandles,
  dispatchBatches,
  StageQueue,
  type StageThroughput,
  WorkerSpeed,
} from '@galenatiller/pool';
import type { TargetDirectory } from '@galenatiller/target';
import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type { RegisteredTarget, PieceResult, StagePiece } from '@galenatiller/types';

import type { RouteTable } from './routeTable.js';

/** Options of {@link StageWorkers.create}. */
export interface StageWorkersOptions {
  readonly timer: TimerService;
  readonly routes: RouteTable;
  readonly targets: TargetDirectory;
  readonly resultMemory: ResultMemory;
  /** Share of the room of a service's workers that this node may use. */
  readonly memoryShare: (service: string) => number;
  readonly runPieces: RunPieces;
  readonly onBatch: (event: BatchEvent) => void;
  readonly onStageAbandoned: (event: AbandonedStageEvent & { readonly service: string }) => void;
  /** Each stage worker has one task of this group. */
  readonly tasks: TaskGroup;
}

interface ServedTarget {
  readonly target: RegisteredTarget;
  readonly stop: AbortController;
}

/** The queues of the stage services, with one task for each of their workers. */
export class StageWorkers {
  private readonly queues = new Map<string, StageQueue>();

  private readonly served = new Map<string, ServedTarget>();

  private readonly speed = WorkerSpeed.create();

  private readonly seenHandles: SeenHandles;

  private constructor(private readonly opts: StageWorkersOptions) {
    this.seenHandles = SeenHandles.create(opts);
  }

  /** Makes queues without workers. */
  static create(opts: StageWorkersOptions): StageWorkers {
    return new StageWorkers(opts);
  }

  /** Hands a piece to the workers of a service. */
  submit(opts: {
    readonly service: string;
    readonly piece: StagePiece;
    readonly signal: AbortSignal;
  }): Promise<PieceResult> {
    return this.queueOf(opts.service).submit(opts);
  }

  /** Pieces that wait for the workers of a service. */
  queuedPieces(service: string): number {
    return this.queues.get(service)?.length ?? 0;
  }

  /** Wakes the tasks of workers whose room may have changed. */
  roomChanged(): void {
    this.queues.forEach((queue) => queue.wakeWorkers());
  }

  /** Starts a task for each listed worker of a stage service, and stops those of workers that are gone. */
  refresh(): void {
    const { targets, routes } = this.opts;
    const listed = targets
      .all()
      .filter(({ service }) => routes.findService(service)?.batch !== undefined);
    const keys = new Set(listed.map(startOf));
    this.served.forEach(({ stop }, key) => {
      if (!keys.has(key)) {
        this.served.delete(key);
        stop.abort();
      }
    });
    listed
      .filter((target) => !this.served.has(startOf(target)))
      .forEach((target) => this.serve(target));
  }

  private serve(target: RegisteredTarget): void {
    const {
      timer,
      routes,
      targets,
      resultMemory: room,
      memoryShare: roomShare,
      runPieces,
      onBatch,
      tasks,
    } = this.opts;
    const stop = new AbortController();
    this.served.set(startOf(target), { target, stop });
    tasks.start(() =>
      dispatchBatches({
        timer,
        queue: this.queueOf(target.service),
        target,
        limits: () => routes.findService(target.service)?.batch,
        isUsable: (one) => targets.isUsable(one),
        resultMemory: room,
        memoryShare: () => roomShare(target.service),
        workerSpeed: this.speed,
        seenHandles: this.seenHandles,
        runPieces,
        onBatch,
        signal: stop.signal,
      }),
    );
  }

  /** What the usable workers of a service get done with full calls, at their present speed. */
  private throughput(service: string): StageThroughput {
    const limits = this.opts.routes.findService(service)?.batch;
    if (!limits) {
      return { piecesPerMs: 0, callMs: 0 };
    }
    const callMs = limits.callOverheadMs + limits.pieceMs * limits.maxPieces;
    const piecesPerMs = this.usable(service)
      .map(({ address }) => limits.maxPieces / (callMs * this.speed.slowdown(address)))
      .reduce((sum, one) => sum + one, 0);
    return { piecesPerMs, callMs };
  }

  private workerZones(service: string): ReadonlySet<string> {
    const usable = this.usable(service);
    return new Set(
      usable
        .filter(({ address }) => this.speed.minWaitMs(address) === 0)
        .map(({ availabilityZone }) => availabilityZone),
    );
  }

  private usable(service: string): readonly RegisteredTarget[] {
    const { targets } = this.opts;
    return [...this.served.values()]
      .map(({ target }) => target)
      .filter((target) => target.service === service && targets.isUsable(target));
  }

  private queueOf(service: string): StageQueue {
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

/** Names one start of a target. */
function startOf(target: RegisteredTarget): string {
  return `${target.id} ${target.startedWallMs} ${target.address}`;
}
