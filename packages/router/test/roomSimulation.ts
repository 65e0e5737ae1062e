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
import type { BatchLimits, RouteConfig } from '@galenatiller/types';

import {
  computeStageDeadlines,
  computeStageUrgencies,
  computeZoneWaitLimits,
} from '../src/computeStageDeadlines.js';
import { computeStartDelayMs } from '../src/computeStartDelay.js';
import { StageProgress } from '../src/stageProgress.js';
import { StageTimes } from '../src/stageTimes.js';
import { runStages, type StageResultHandle, type SubmitPiece } from '../src/runStages.js';
import { SimulatedClock } from './simulatedClock.js';
import { SimulatedStageWorker, type StageWorkerCounts } from './simulatedStageWorker.js';
import {
  type ClassCounts,
  createRandom,
  createTarget,
  drawPieces,
  type RoomSimulationOptions,
  type SimulatedClass,
  type SimulatedService,
} from './roomTypes.js';
import { BASE_ROUTE, CALL } from './support.js';

const LINK_MS = 2;

/** Time from the send of a call to its first event. */
const TARGET_MS = 350;

/** Time after which a target has fetched the inputs of a call. */
const TARGET_FETCH_MS = 20;

const MAX_ROUNDS = 2;

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
    const counted = new Map(
      this.opts.classes.map(({ name }) => [name, { calls: 0, onTime: 0, late: 0, failed: 0 }]),
    );
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
      order: orderPieces,
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
    const { timer } = this;
    const startedAtMs = timer.nowMs();
    const counts = this.counts.get(kind.name);
    this.calls += 1;
    const requestId = `call-${this.calls}`;
    const stagePieces = kind.pieces.map((mean) => drawPieces(mean, random));
    if (counts) {
      counts.calls += 1;
    }
    const limit = timer.startTimeLimit({ limitMs: kind.deadlineMs });
    const isServed = await this.runRounds({
      kind,
      call: { ...CALL, requestId, stagePieces },
      startedAtMs,
      signal: limit.signal,
    });
    limit.release();
    if (!counts) {
      return;
    }
    if (!isServed || limit.signal.aborted) {
      counts.failed += 1;
    } else if (timer.nowMs() - startedAtMs <= kind.objectiveMs) {
      counts.onTime += 1;
    } else {
      counts.late += 1;
    }
  }

  private async runRounds(opts: {
    readonly kind: SimulatedClass;
    readonly call: typeof CALL;
    readonly startedAtMs: number;
    readonly signal: AbortSignal;
  }): Promise<boolean> {
    const { timer } = this;
    const { kind, call, startedAtMs, signal } = opts;
    const route: RouteConfig = { ...BASE_ROUTE, name: kind.name, stages: kind.stages };
    const deadlineOptions = {
      route,
      call,
      responseMs: TARGET_MS,
      findLimits: (service: string) => this.limits.get(service),
    };
    const respondByMs = startedAtMs + kind.deadlineMs;
    const dueAtMs = startedAtMs + kind.objectiveMs;
    for (let round = 1; round <= MAX_ROUNDS; round += 1) {
      const stageProgress = StageProgress.create({ timer });
      const stages = await runStages({
        route,
        call,
        content: call.requestId,
        priority: kind.priority,
        zoneHint: '',
        deadlinesAtMs: computeStageDeadlines({ ...deadlineOptions, respondByMs }),
        dueAtMs,
        urgencies: computeStageUrgencies({
          ...deadlineOptions,
          respondByMs: dueAtMs,
          organisation: '',
        }),
        zoneWaitsUntilMs: computeZoneWaitLimits({ ...deadlineOptions, respondByMs: dueAtMs }),
        nowMs: () => timer.nowMs(),
        resultTtlMs: (service) => this.limits.get(service)?.resultTtlMs ?? 0,
        submit: this.submit,
        startDelayMs: (position) =>
          this.opts.startsAtOnce
            ? 0
            : computeStartDelayMs({
                ...deadlineOptions,
                position,
                stageProgress,
                stageTimes: this.stageTimes,
                nowMs: timer.nowMs(),
              }),
        sleep: (sleep) => timer.sleep(sleep),
        onStageStarted: (position) => stageProgress.recordStart(position),
        onStageDone: (position) => {
          stageProgress.recordDone(position);
          this.stageTimes.observe({
            route: kind.name,
            position,
            durationMs: stageProgress.runningMs(position),
            nowMs: timer.nowMs(),
          });
        },
        free: (results) => {
          this.recordFreed(kind.name, results);
          timer.after({
            delayMs: LINK_MS,
            notify: () => this.memory.free(results.map(({ handle }) => handle)),
          });
        },
        signal,
      });
      if (stages.kind === 'failed') {
        stages.free();
        if (stages.reason !== 'input-gone') {
          return false;
        }
      } else {
        await timer.sleep({ delayMs: TARGET_FETCH_MS });
        const fetched = stages.inputs.map(({ handle }) =>
          this.workers.get(toWorkerAddress(handle))?.fetch(handle),
        );
        if (!fetched.includes(undefined)) {
          await timer.sleep({ delayMs: TARGET_MS - TARGET_FETCH_MS });
          stages.free();
          return true;
        }
        stages.free();
      }
    }
    return false;
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
