/**
 * Calls of several classes that share stage workers, on simulated time: the stages of each call, the
 * queues and the tasks of the workers are those of the router, without links and targets.
 */
import {
  dispatchBatches,
  ResultMemory,
  SeenHandles,
  StageQueue,
  type StageThroughput,
  WorkerSpeed,
} from '@galenatiller/pool';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { BatchLimits, RouteConfig, RoutedCall } from '@galenatiller/types';

import {
  type CallAdmissionDecision,
  decideAdmission,
  decideStageStart,
  type EstimateInputs,
  estimateNewCall,
} from '../src/admission/index.js';
import {
  computeStageDeadlines,
  computeStageUrgencies,
  computeZoneWaitLimits,
} from '../src/computeStageDeadlines.js';
import { runStages, type RunStagesOptions } from '../src/runStages.js';
import { StageProgress } from '../src/stageProgress.js';
import type { BurstCall, BurstClass, BurstOptions } from './burstTypes.js';
import { createRandom, createTarget } from './roomTypes.js';
import { CALL } from './support.js';

const MAX_ATTEMPTS = 2;

const MAX_ROUNDS = 2;

interface CallLimits {
  readonly route: RouteConfig;
  readonly dueAtMs: number;
  readonly respondByMs: number;
}

/** The fastest and the slowest response, as multiples of the usual one. */
const FAST_RESPONSE = 0.7;
const SLOW_RESPONSE = 1.3;

/** Runs calls on simulated time. */
export class BurstSimulation {
  private readonly clock = ManualClock.create({ startWallMs: 1_000_000 });

  private readonly timer = TimerService.create({ clock: this.clock });

  private readonly random: () => number;

  /** Draws for the calls that arrive, so that they are the same under each policy. */
  private readonly arrivals: () => number;

  private readonly queues = new Map<string, StageQueue>();

  private readonly factors = new Map<string, number>();

  private readonly stop = new AbortController();

  private handles = 0;

  /** All calls so far. */
  readonly calls: BurstCall[] = [];

  private constructor(private readonly opts: BurstOptions) {
    this.random = createRandom(opts.seed);
    this.arrivals = createRandom(opts.seed + 1);
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
      const gapMs = (-Math.log(1 - this.arrivals()) * 1_000) / totalRate;
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
    let remaining = this.arrivals() * totalRate;
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
    const stagePieces = meanPieces.map((mean) => 1 + Math.floor(this.arrivals() * (2 * mean - 1)));
    const call = { ...CALL, requestId: `${name}-${this.calls.length}`, stagePieces };
    const record: BurstCall = {
      name,
      organisation: this.opts.chooseOrganisation(this.arrivals),
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
      if (decision.kind === 'admit') {
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
    if (this.opts.refusesNothing) {
      return { kind: 'admit' };
    }
    return decideAdmission({
      estimate: estimateNewCall(this.toEstimateInputs(route, call)),
      leftMs: record.arrivedAtMs + route.firstByteTimeoutMs - this.timer.nowMs(),
      priority: route.priority,
      stagedPriorities: this.opts.classes.map((other) => other.route.priority),
      loopLagMs: 0,
      random: () => 0.5,
    });
  }

  private toEstimateInputs(route: RouteConfig, call: RoutedCall): EstimateInputs {
    const { responseMs } = this.opts;
    return {
      route,
      call,
      priority: route.priority,
      findLimits: (name) => this.findLimits(name),
      findWaits: (service) => [this.queues.get(service)?.waits ?? []],
      responseMs: SLOW_RESPONSE * responseMs,
      fastResponseMs: FAST_RESPONSE * responseMs,
    };
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
    const isReady = await this.makeInputs(record, call, { route, dueAtMs, respondByMs }, patience);
    if (isReady) {
      await timer.sleep({
        delayMs: responseMs * (FAST_RESPONSE + (SLOW_RESPONSE - FAST_RESPONSE) * this.random()),
      });
    }
    const isAnswered = isReady && !patience.signal.aborted;
    patience.release();
    const timeliness = timer.nowMs() <= dueAtMs ? 'on-time' : 'late';
    record.end = isAnswered ? timeliness : 'failed';
    record.endedAtMs = timer.nowMs();
  }

  /** Runs the stages of a call, and once more if results have expired before their use. */
  private async makeInputs(
    record: BurstCall,
    call: RoutedCall,
    limits: CallLimits,
    { signal }: { readonly signal: AbortSignal },
  ): Promise<boolean> {
    for (let round = 1; round <= MAX_ROUNDS; round += 1) {
      const stages = await runStages(this.createStageOptions(record, call, limits, signal));
      if (stages.kind === 'failed' && stages.reason !== 'input-gone') {
        return false;
      }
      const nowMs = this.timer.nowMs();
      if (stages.kind === 'done' && stages.inputs.every((input) => input.expiresAtMs > nowMs)) {
        return true;
      }
    }
    return false;
  }

  private createStageOptions(
    record: BurstCall,
    call: RoutedCall,
    { route, dueAtMs, respondByMs }: CallLimits,
    signal: AbortSignal,
  ): RunStagesOptions {
    const { timer, opts } = this;
    const { responseMs } = opts;
    const shared = { route, call, responseMs, findLimits: (name: string) => this.findLimits(name) };
    const inputs = this.toEstimateInputs(route, call);
    const urgencies = computeStageUrgencies({
      ...shared,
      respondByMs: dueAtMs,
      organisation: record.organisation,
    });
    const stageProgress = StageProgress.create({ timer });
    return {
      route,
      call,
      content: call.requestId,
      priority: route.priority,
      zoneHint: '',
      deadlinesAtMs: computeStageDeadlines({ ...shared, respondByMs }),
      dueAtMs,
      urgencies,
      zoneWaitsUntilMs: computeZoneWaitLimits({ ...shared, respondByMs: dueAtMs }),
      nowMs: () => timer.nowMs(),
      resultTtlMs: (service) => this.findLimits(service).resultTtlMs,
      submit: async ({ service, piece, signal: pieceSignal }) => {
        const result = await this.queues.get(service)?.submit({ piece, signal: pieceSignal });
        record.made += result?.kind === 'made' ? 1 : 0;
        return result ?? { kind: 'failed', reason: 'unreachable' };
      },
      decideStart: (position) =>
        decideStageStart({
          ...inputs,
          position,
          stageProgress,
          leftMs: respondByMs - timer.nowMs(),
          isLate: (urgencies[position]?.latestStartAtMs ?? Infinity) < timer.nowMs(),
        }),
      onStageHeld: () => {},
      startDelayMs: () => 0,
      sleep: (sleep) => timer.sleep(sleep),
      onStageStarted: (position) => stageProgress.recordStart(position),
      onStageDone: (position) => stageProgress.recordDone(position),
      free: () => {},
      signal,
    };
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
      workerZones: () => new Set(),
      onStageAbandoned: () => {},
    });
    this.queues.set(service, queue);
    const resultMemory = ResultMemory.create({
      timer,
      freeResults: () => Promise.resolve(),
      pausedMs: () => 0,
      onMemoryFreed: () => queue.wakeWorkers(),
    });
    Array.from({ length: workers }, (_, index) => createTarget(service, index)).forEach(
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
