/**
 * Calls with stages on simulated time: the stages, queues, batch calls and the accounting of room are
 * those of the program; workers, links and targets are simulated.
 */
import {
  orderPieces,
  dispatchBatches,
  ResultMemory,
  SeenHandles,
  StageQueue,
  toWorkerAddress,
  WorkerSpeed,
} from '@galenatiller/pool';
import { TimerService } from '@galenatiller/timer';
import type { BatchLimits } from '@galenatiller/types';

import { StageTimes } from '../src/stageTimes.js';
import type { StageResultHandle, SubmitPiece } from '../src/runStages.js';
import { runRoomCall } from './roomCall.js';
import { SimulatedClock } from './simulatedClock.js';
import { SimulatedStageWorker, type StageWorkerCounts } from './simulatedStageWorker.js';
import {
  type ClassCounts,
  createCounts,
  createRandom,
  createTarget,
  drawPieces,
  type RoomSimulationOptions,
  type SimulatedClass,
  type SimulatedService,
} from './roomTypes.js';
import { CALL } from './support.js';

const LINK_MS = 2;

const SEED_STEP = 1_000;

/** Stage workers, their owner and callers. */
export class RoomSimulation {
  readonly clock = SimulatedClock.create();

  readonly timer = TimerService.create({ clock: this.clock });

  readonly workers = new Map<string, SimulatedStageWorker>();

  private readonly queues = new Map<string, StageQueue>();

  private readonly limits = new Map<string, BatchLimits>();

  private readonly memory: ResultMemory;

  private readonly random: () => number;

  private readonly stop = new AbortController();

  private readonly counts = new Map<string, ClassCounts>();

  private readonly stageTimes = StageTimes.create();

  private readonly kept = new Map<string, { results: number; keptMs: number }>();

  private readonly factors = new Map<string, number>();

  private calls = 0;

  private constructor(private readonly opts: RoomSimulationOptions) {
    this.random = createRandom(opts.seed);
    this.memory = ResultMemory.create({
      timer: this.timer,
      freeResults: ({ address, handles }) =>
        this.workers.get(address)?.free(handles) ?? Promise.resolve(),
      pausedMs: () => 0,
      onMemoryFreed: () => this.queues.forEach((queue) => queue.wakeWorkers()),
    });
    opts.services.forEach((service) => this.startService(service));
    // Each class has numbers of its own, so that its calls are the same under each policy.
    opts.classes.forEach((kind, index) =>
      this.scheduleCall(kind, createRandom(opts.seed + SEED_STEP * (index + 1))),
    );
  }

  /** Creates a simulation at time 0. */
  static create(opts: RoomSimulationOptions): RoomSimulation {
    return new RoomSimulation(opts);
  }

  /** Sets the traffic of a class, as a multiple of the usual one. */
  setTraffic(name: string, factor: number): void {
    this.factors.set(name, factor);
  }

  /** Runs for a time, and returns how the calls ended that began in it, some time later. */
  async run(forMs: number): Promise<ReadonlyMap<string, ClassCounts>> {
    const counted = new Map(this.opts.classes.map(({ name }) => [name, createCounts()]));
    this.counts.clear();
    counted.forEach((counts, name) => this.counts.set(name, counts));
    await this.clock.advanceTo(this.timer.nowMs() + forMs);
    return counted;
  }

  /** Sum of the counts of the workers of a service. */
  countWorkers(service: string): StageWorkerCounts {
    return [...this.workers]
      .filter(([address]) => address.startsWith(`${service}:`))
      .map(([, { counts }]) => counts)
      .reduce((sum, counts) => ({
        calls: sum.calls + counts.calls,
        pieces: sum.pieces + counts.pieces,
        callsWithoutRoom: sum.callsWithoutRoom + counts.callsWithoutRoom,
        noRoom: sum.noRoom + counts.noRoom,
        inputsGone: sum.inputsGone + counts.inputsGone,
        made: sum.made + counts.made,
        used: sum.used + counts.used,
      }));
  }

  /** Results of a size that were freed for the calls of a class, and the time for which they were kept. */
  countKept(name: string, bytes: number): { readonly results: number; readonly keptMs: number } {
    return this.kept.get(`${name} ${bytes}`) ?? { results: 0, keptMs: 0 };
  }

  /** Ends all tasks. */
  end(): void {
    this.stop.abort();
  }

  private startService({ name, workers, limits }: SimulatedService): void {
    const { timer } = this;
    const workerSpeed = WorkerSpeed.create();
    const seenHandles = SeenHandles.create({ timer });
    const callMs = limits.callOverheadMs + limits.pieceMs * limits.maxPieces;
    const queue = StageQueue.create({
      timer,
      order: this.opts.order ?? orderPieces,
      inputZone: () => '',
      throughput: () => ({
        piecesPerMs: (workers * limits.maxPieces) / callMs,
        callMs,
        pausedMs: 0,
      }),
      workerZones: () => new Set(),
      onStageAbandoned: () => {},
    });
    this.queues.set(name, queue);
    this.limits.set(name, limits);
    Array.from({ length: workers }).forEach((_, index) => {
      const target = createTarget(name, index);
      const worker = SimulatedStageWorker.create({
        timer,
        target,
        limits,
        random: this.random,
        sizeSpread: this.opts.sizeSpread ?? 0,
        find: (address) => this.workers.get(address),
      });
      this.workers.set(target.address, worker);
      dispatchBatches({
        timer,
        queue,
        target,
        limits: () => limits,
        isUsable: () => true,
        resultMemory: this.memory,
        senders: () => 1,
        random: this.random,
        workerSpeed,
        seenHandles,
        runPieces: worker.run,
        onBatch: () => {},
        onSent: () => {},
        onNotice: () => {},
        signal: this.stop.signal,
      }).catch(rethrow);
    });
  }

  private scheduleCall(kind: SimulatedClass, random: () => number): void {
    const perMs = (kind.perSecond * (this.factors.get(kind.name) ?? 1)) / 1_000;
    const delayMs = -Math.log(1 - random()) / perMs;
    this.timer.after({
      delayMs,
      notify: () => {
        this.runCall(kind, random).catch(rethrow);
        this.scheduleCall(kind, random);
      },
    });
  }

  private async runCall(kind: SimulatedClass, random: () => number): Promise<void> {
    const counts = this.counts.get(kind.name);
    this.calls += 1;
    const stagePieces = kind.pieces.map((mean) => drawPieces(mean, random));
    const call = { ...CALL, requestId: `call-${this.calls}`, stagePieces };
    if (counts) {
      counts.calls += 1;
    }
    const end = await runRoomCall({
      timer: this.timer,
      policy: this.opts,
      limits: this.limits,
      stageTimes: this.stageTimes,
      submit: this.submit,
      free: (results) => this.free(kind.name, results),
      fetch: (handle) => this.workers.get(toWorkerAddress(handle))?.fetch(handle) !== undefined,
      findWaits: (service) => this.queues.get(service)?.waits ?? [],
      kind,
      call,
    });
    if (counts) {
      counts[end] += 1;
    }
  }

  private free(name: string, results: readonly StageResultHandle[]): void {
    this.recordFreed(name, results);
    this.timer.after({
      delayMs: LINK_MS,
      notify: () => this.memory.free(results.map(({ handle }) => handle)),
    });
  }

  private recordFreed(name: string, results: readonly StageResultHandle[]): void {
    results.forEach(({ handle, bytes }) => {
      const counts = this.kept.get(`${name} ${bytes}`) ?? { results: 0, keptMs: 0 };
      this.kept.set(`${name} ${bytes}`, counts);
      counts.results += 1;
      counts.keptMs += this.workers.get(toWorkerAddress(handle))?.ageMs(handle) ?? 0;
    });
  }

  private readonly submit: SubmitPiece = async ({ service, piece, signal, onBegun }) => {
    await this.timer.sleep({ delayMs: LINK_MS });
    const result = await this.queues.get(service)?.submit({
      piece,
      signal,
      onBegun:
        onBegun && !this.opts.freesWhenDone
          ? () => this.timer.after({ delayMs: LINK_MS, notify: onBegun })
          : undefined,
    });
    await this.timer.sleep({ delayMs: LINK_MS });
    return result ?? { kind: 'failed', reason: 'unreachable' };
  };
}

function rethrow(error: unknown): void {
  throw error;
}
