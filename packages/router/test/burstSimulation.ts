/**
 * Calls of several classes that share stage workers, on simulated time: the stages of each call, the
 * queues and the tasks of the workers are those of the router, without links and targets.
 */
import {
  dispatchBatches,
  type OrderPieces,
  ResultMemory,
  SeenHandles,
  StageQueue,
  type StageThroughput,
  WorkerSpeed,
} from '@galenatiller/pool';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { BatchLimits, RegisteredTarget, RouteConfig, RoutedCall } from '@galenatiller/types';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import {
  type CallAdmissionDecision,
  decideAdmission,
  estimateCall,
} from '../src/admission/index.js';
import {
  computeStageDeadlines,
  computeStageUrgencies,
  computeZoneWaitLimits,
  estimateStageTimes,
} from '../src/computeStageDeadlines.js';
import { runStages } from '../src/runStages.js';
import { BASE_ROUTE, CALL } from './support.js';

/** A class of calls. */
export interface BurstClass {
  readonly name: string;
  readonly callsPerSecond: number;
  readonly route: RouteConfig;
  /** Mean number of pieces of each stage. */
  readonly meanPieces: readonly number[];
}

/** How a call ended. */
export interface BurstCall {
  readonly name: string;
  readonly organisation: string;
  readonly pieces: number;
  readonly arrivedAtMs: number;
  /** Pieces that workers have made for it. */
  made: number;
  end: 'waiting' | 'on-time' | 'late' | 'failed' | 'refused';
  endedAtMs: number;
}

/** Options of {@link BurstSimulation.create}. */
export interface BurstOptions {
  readonly classes: readonly BurstClass[];
  readonly services: ReadonlyMap<
    string,
    { readonly workers: number; readonly limits: BatchLimits }
  >;
  readonly order: OrderPieces;
  /** Whether calls are refused on arrival. */
  readonly hasAdmission: boolean;
  readonly responseMs: number;
  /** Organisation of the next call. */
  readonly chooseOrganisation: (random: () => number) => string;
  readonly seed: number;
}

const MAX_ATTEMPTS = 2;

/** Runs calls on simulated time. */
export class BurstSimulation {
  private readonly clock = ManualClock.create({ startWallMs: 1_000_000 });

  private readonly timer = TimerService.create({ clock: this.clock });

  private readonly random: () => number;

  private readonly queues = new Map<string, StageQueue>();

  private readonly factors = new Map<string, number>();

  private readonly stop = new AbortController();

  private handles = 0;

  /** All calls so far. */
  readonly calls: BurstCall[] = [];

  private constructor(private readonly opts: BurstOptions) {
    const generator = xoroshiro128plus(opts.seed);
    this.random = () => uniformInt(generator, 0, 999_999) / 1_000_000;
    opts.services.forEach((_, service) => this.startService(service));
  }

  /** Creates a fleet at time 0. */
  static create(opts: BurstOptions): BurstSimulation {
    return new BurstSimulation(opts);
  }

  /** Sets the traffic of a class, as a multiple of the usual one. */
  setTraffic(name: string, factor: number): void {
    this.factors.set(name, factor);
  }

  /** Lets calls arrive for a time, and returns those that did. */
  async run(forMs: number): Promise<readonly BurstCall[]> {
    const before = this.calls.length;
    const untilMs = this.timer.nowMs() + forMs;
    const rates = this.opts.classes.map(
      ({ name, callsPerSecond }) => callsPerSecond * (this.factors.get(name) ?? 1),
    );
    const totalRate = rates.reduce((sum, rate) => sum + rate, 0);
    for (;;) {
      const gapMs = (-Math.log(1 - this.random()) * 1_000) / totalRate;
      if (this.timer.nowMs() + gapMs > untilMs) {
        await this.clock.advance({ byMs: untilMs - this.timer.nowMs() });
        return this.calls.slice(before);
      }
      await this.clock.advance({ byMs: gapMs });
      this.startCall(this.pickClass(rates, totalRate));
    }
  }

  /** Ends the tasks of the workers. */
  async end(): Promise<void> {
    this.stop.abort();
    await this.clock.advance({ byMs: 10_000 });
  }

  private pickClass(rates: readonly number[], totalRate: number): BurstClass {
    let remaining = this.random() * totalRate;
    const position = rates.findIndex((rate) => {
      remaining -= rate;
      return remaining < 0;
    });
    const picked = this.opts.classes[Math.max(0, position)];
    if (!picked) {
      throw new Error('no class of calls');
    }
    return picked;
  }

  private startCall({ name, route, meanPieces }: BurstClass): void {
    const stagePieces = meanPieces.map((mean) => 1 + Math.floor(this.random() * (2 * mean - 1)));
    const call = { ...CALL, requestId: `${name}-${this.calls.length}`, stagePieces };
    const record: BurstCall = {
      name,
      organisation: this.opts.chooseOrganisation(this.random),
      pieces: stagePieces.reduce((sum, pieces) => sum + pieces, 0),
      arrivedAtMs: this.timer.nowMs(),
      made: 0,
      end: 'waiting',
      endedAtMs: 0,
    };
    this.calls.push(record);
    this.attempt(record, route, call).catch((error: unknown) => {
      throw error;
    });
  }

  /** A call that is refused comes once more after the time to retry. */
  private async attempt(record: BurstCall, route: RouteConfig, call: RoutedCall): Promise<void> {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const decision = this.decide(record, route, call);
      if (!this.opts.hasAdmission || decision.kind === 'admit') {
        await this.serve(record, route, call);
        return;
      }
      if (attempt < MAX_ATTEMPTS) {
        await this.timer.sleep({ delayMs: decision.retryAfterMs });
      }
    }
    record.end = 'refused';
    record.endedAtMs = this.timer.nowMs();
  }

  private decide(record: BurstCall, route: RouteConfig, call: RoutedCall): CallAdmissionDecision {
    const findLimits = (name: string): BatchLimits => this.findLimits(name);
    const estimate = estimateCall({
      route,
      priority: route.priority,
      stagesMs: estimateStageTimes({ route, call, findLimits }),
      responseMs: this.opts.responseMs,
      findWaits: (service) => [this.queues.get(service)?.waits ?? []],
    });
    return decideAdmission({
      estimate,
      leftMs: record.arrivedAtMs + route.firstByteTimeoutMs - this.timer.nowMs(),
      priority: route.priority,
      stagedPriorities: this.opts.classes.map((other) => other.route.priority),
      loopLagMs: 0,
      random: () => 0.5,
    });
  }

  private computeThroughput(service: string): StageThroughput {
    const workers = this.opts.services.get(service)?.workers ?? 0;
    const { maxPieces, callOverheadMs, pieceMs } = this.findLimits(service);
    const callMs = callOverheadMs + pieceMs * maxPieces;
    return { piecesPerMs: (workers * maxPieces) / callMs, callMs, pausedMs: 0 };
  }

  private async serve(record: BurstCall, route: RouteConfig, call: RoutedCall): Promise<void> {
    const { timer, opts } = this;
    const { responseMs } = opts;
    const dueAtMs = record.arrivedAtMs + route.latencyObjectiveMs;
    const respondByMs = record.arrivedAtMs + route.firstByteTimeoutMs;
    const patience = timer.startTimeLimit({ limitMs: respondByMs - timer.nowMs() });
    const shared = { route, call, responseMs, findLimits: (name: string) => this.findLimits(name) };
    const stages = await runStages({
      route,
      call,
      content: call.requestId,
      priority: route.priority,
      zoneHint: '',
      deadlinesAtMs: computeStageDeadlines({ ...shared, respondByMs }),
      dueAtMs,
      urgencies: computeStageUrgencies({
        ...shared,
        respondByMs: dueAtMs,
        organisation: record.organisation,
      }),
      zoneWaitsUntilMs: computeZoneWaitLimits({ ...shared, respondByMs: dueAtMs }),
      nowMs: () => timer.nowMs(),
      resultTtlMs: (service) => this.findLimits(service).resultTtlMs,
      submit: async ({ service, piece, signal }) => {
        const result = await this.queues.get(service)?.submit({ piece, signal });
        record.made += result?.kind === 'made' ? 1 : 0;
        return result ?? { kind: 'failed', reason: 'unreachable' };
      },
      startDelayMs: () => 0,
      sleep: (sleep) => timer.sleep(sleep),
      onStageStarted: () => {},
      onStageDone: () => {},
      free: () => {},
      signal: patience.signal,
    });
    if (stages.kind === 'done') {
      await timer.sleep({ delayMs: responseMs * (0.7 + 0.6 * this.random()) });
    }
    const isAnswered = stages.kind === 'done' && !patience.signal.aborted;
    patience.release();
    const timeliness = timer.nowMs() <= dueAtMs ? 'on-time' : 'late';
    record.end = isAnswered ? timeliness : 'failed';
    record.endedAtMs = timer.nowMs();
  }

  private findLimits(service: string): BatchLimits {
    const limits = this.opts.services.get(service)?.limits;
    if (!limits) {
      throw new Error(`unknown service ${service}`);
    }
    return limits;
  }

  private startService(service: string): void {
    const { timer } = this;
    const workers = this.opts.services.get(service)?.workers ?? 0;
    const limits = this.findLimits(service);
    const throughput = this.computeThroughput(service);
    const queue = StageQueue.create({
      timer,
      order: this.opts.order,
      inputZone: () => '',
      throughput: () => throughput,
      workerZones: () => new Set(['zone']),
      onStageAbandoned: () => {},
    });
    this.queues.set(service, queue);
    const resultMemory = ResultMemory.create({
      timer,
      freeResults: () => Promise.resolve(),
      pausedMs: () => 0,
      onMemoryFreed: () => queue.wakeWorkers(),
    });
    Array.from({ length: workers }, (_, index) => createWorker(service, index)).forEach(
      (target) => {
        dispatchBatches({
          timer,
          queue,
          target,
          limits: () => limits,
          isUsable: () => true,
          resultMemory,
          senders: () => 1,
          random: this.random,
          workerSpeed: WorkerSpeed.create(),
          seenHandles: SeenHandles.create({ timer }),
          runPieces: async ({ pieces }) => {
            const delayMs = limits.callOverheadMs + limits.pieceMs * pieces.length;
            await timer.sleep({ delayMs });
            const results = pieces.map(() => {
              this.handles += 1;
              return { kind: 'made' as const, handle: `${target.address}/${this.handles}` };
            });
            return { kind: 'answered', results, discard: () => {} };
          },
          onBatch: () => {},
          onSent: () => {},
          onNotice: () => {},
          signal: this.stop.signal,
        }).catch((error: unknown) => {
          throw error;
        });
      },
    );
  }
}

function createWorker(service: string, index: number): RegisteredTarget {
  return {
    id: `${service}-${index}`,
    startedWallMs: 1,
    service,
    address: `10.0.0.${index}:${service.length}`,
    availabilityZone: 'zone',
    version: 'v1',
    slots: 1,
    state: 'ready',
  };
}

/** The route of a class of calls. */
export function createBurstRoute(changes: Partial<RouteConfig>): RouteConfig {
  return { ...BASE_ROUTE, timeoutMs: 60_000, ...changes };
}
