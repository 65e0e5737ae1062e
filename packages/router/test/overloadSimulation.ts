/**
 * Routers that share stage workers, without a network: each router has one queue of work for its CPU,
 * and each worker runs one call and queues one. Orders and results only cost CPU time.
 */
import type { Member } from '@galenatiller/store';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

import { OwnerCredit } from '../src/ownership/index.js';
import { EventQueue } from './eventQueue.js';
import {
  LIMITS,
  type OverloadOptions,
  type OverloadPolicy,
  type SimulatedWorker,
} from './overloadTypes.js';

/** What a simulation has counted in a span of time. */
export interface OverloadCounts {
  calls: number;
  served: number;
  workerCalls: number;
  foundFull: number;
}

interface Router {
  readonly member: Member;
  /** Time at which the CPU has done all work that waits for it. */
  busyUntilMs: number;
  /** Factor on the time that work takes. */
  slowness: number;
  pieces: number;
  readonly credit: OwnerCredit;
  /** Stages that wait here for workers, by shard. */
  readonly queues: Map<string, Stage[]>;
  readonly retryAtMs: Map<string, number>;
  readonly refusals: Map<string, number>;
  readonly calling: Set<string>;
}

interface Stage {
  readonly home: Router;
  readonly service: string;
  readonly pieces: number;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  waitsUntilMs: number;
  /** Increases when the stage is submitted again, so that earlier submissions are ignored. */
  round: number;
  isEnded: boolean;
  at: Router | undefined;
}

const PIECES_OF_STAGE = 8;
const DEADLINE_MS = 4_000;
const CALL_CPU_MS = 1.5;
const ORDER_CPU_MS = 0.3;
const PIECE_CPU_MS = 0.2;
const WORKER_CALL_CPU_MS = 0.8;
const LAG_CHECK_MS = 100;
const RECHECK_MS = 40;
const MAX_WAIT_MS = 700;
const MAX_CALLS_AT_WORKER = 2;

/** Runs the routers of a fleet on simulated time. */
export class OverloadSimulation {
  private nowMs = 0;

  private readonly events = EventQueue.create();

  private readonly routers: Map<string, Router>;

  private readonly callsAtWorker = new Map<string, number>();

  private readonly policy: OverloadPolicy;

  private readonly random: () => number;

  private callsPerSecond: number;

  private counts: OverloadCounts = { calls: 0, served: 0, workerCalls: 0, foundFull: 0 };

  private constructor(private readonly opts: OverloadOptions) {
    const generator = xoroshiro128plus(opts.seed);
    this.random = () => uniformInt(generator, 0, 999_999) / 1_000_000;
    this.policy = opts.createPolicy(opts);
    this.callsPerSecond = opts.callsPerSecond;
    this.routers = new Map(opts.members.map((member) => [member.name, createRouter(member)]));
    this.scheduleCall();
    this.checkLag();
  }

  /** Creates a fleet at time 0. */
  static create(opts: OverloadOptions): OverloadSimulation {
    return new OverloadSimulation(opts);
  }

  /** Runs for a time and returns what was counted in it. */
  run(forMs: number): OverloadCounts {
    this.counts = { calls: 0, served: 0, workerCalls: 0, foundFull: 0 };
    const untilMs = this.nowMs + forMs;
    for (let { first } = this.events; first && first.atMs <= untilMs; { first } = this.events) {
      this.events.removeFirst();
      this.nowMs = first.atMs;
      first.run();
    }
    this.nowMs = untilMs;
    return this.counts;
  }

  /** Sets the traffic, as a multiple of the usual one. */
  setTraffic(factor: number): void {
    this.callsPerSecond = this.opts.callsPerSecond * factor;
  }

  /** Slows down the owner of a shard, or lets it work as usual again. */
  setSlowness(shard: string, slowness: number): void {
    const owner = this.routers.get(this.policy.candidates(shard)[0] ?? '');
    if (owner) {
      owner.slowness = slowness;
    }
  }

  private scheduleCall(): void {
    const delayMs = (-Math.log(1 - this.random()) * 1_000) / this.callsPerSecond;
    this.after(delayMs, () => {
      this.startCall();
      this.scheduleCall();
    });
  }

  private startCall(): void {
    const routers = [...this.routers.values()];
    const home = pick(routers, this.random);
    const services = [...new Set(this.opts.workers.map(({ service }) => service))];
    const service = pick(services, this.random);
    this.counts.calls += 1;
    const stage: Stage = {
      home,
      service,
      pieces: 1 + Math.floor(this.random() * 2 * PIECES_OF_STAGE),
      startedAtMs: this.nowMs,
      deadlineAtMs: this.nowMs + DEADLINE_MS,
      waitsUntilMs: this.nowMs + MAX_WAIT_MS,
      round: 0,
      isEnded: false,
      at: undefined,
    };
    this.work(home, CALL_CPU_MS, () => this.submit(stage));
    this.after(DEADLINE_MS, () => end(stage));
  }

  private submit(stage: Stage): void {
    if (stage.isEnded) {
      return;
    }
    const shard = pick(this.policy.shardsOf(stage.service), this.random);
    const name = this.policy.candidates(shard).find((candidate) => this.accepts(candidate, stage));
    if (name === undefined && !this.policy.submitsAlone) {
      if (this.nowMs >= stage.waitsUntilMs) {
        end(stage);
        return;
      }
      this.after(RECHECK_MS, () => this.submit(stage));
      return;
    }
    const router = this.routers.get(name ?? '') ?? stage.home;
    const { round } = stage;
    stage.at = router;
    router.pieces += stage.pieces;
    this.work(stage.home, ORDER_CPU_MS, () => {
      this.work(router, ORDER_CPU_MS + PIECE_CPU_MS * stage.pieces, () => {
        if (!stage.isEnded && stage.round === round) {
          const queue = router.queues.get(shard) ?? [];
          router.queues.set(shard, [...queue, stage]);
          this.dispatch(router, shard);
        }
      });
    });
    if (router !== stage.home) {
      this.watch(stage, router);
    }
  }

  /** Submits a stage again once its router has been silent for too long. */
  private watch(stage: Stage, router: Router): void {
    const { round } = stage;
    this.after(LAG_CHECK_MS, () => {
      if (stage.isEnded || stage.round !== round) {
        return;
      }
      if (this.silenceMs(router) < this.policy.lostAfterMs) {
        this.watch(stage, router);
        return;
      }
      leave(stage);
      stage.round += 1;
      stage.waitsUntilMs = this.nowMs + MAX_WAIT_MS;
      this.submit(stage);
    });
  }

  private accepts(name: string, stage: Stage): boolean {
    const router = this.routers.get(name);
    if (!router) {
      return false;
    }
    const isResponsive = router === stage.home || this.silenceMs(router) < this.policy.slowAfterMs;
    return isResponsive && (!this.policy.hasCredit || router.credit.canAccept());
  }

  /** A router responds once its CPU has done the work that waits for it. */
  private silenceMs(router: Router): number {
    return Math.max(0, router.busyUntilMs - this.nowMs);
  }

  private dispatch(router: Router, shard: string): void {
    this.opts.workers
      .filter((worker) => this.policy.shardOf(worker) === shard)
      .forEach((worker) => this.callWorker(router, worker));
  }

  private callWorker(router: Router, worker: SimulatedWorker): void {
    const { id } = worker;
    const shard = this.policy.shardOf(worker);
    const isPaused = (router.retryAtMs.get(id) ?? 0) > this.nowMs;
    const queue = (router.queues.get(shard) ?? []).filter(({ isEnded }) => !isEnded);
    router.queues.set(shard, queue);
    if (queue.length === 0 || isPaused || router.calling.has(id)) {
      return;
    }
    let pieces = 0;
    const taken = queue.filter((stage) => {
      const isFirst = pieces === 0;
      const fits = isFirst || pieces + stage.pieces <= LIMITS.maxPieces;
      pieces += fits ? stage.pieces : 0;
      return fits;
    });
    router.queues.set(
      shard,
      queue.filter((stage) => !taken.includes(stage)),
    );
    router.calling.add(id);
    this.work(router, WORKER_CALL_CPU_MS, () => this.arrive(router, worker, taken));
  }

  private arrive(router: Router, worker: SimulatedWorker, taken: readonly Stage[]): void {
    const { id } = worker;
    const calls = this.callsAtWorker.get(id) ?? 0;
    this.counts.workerCalls += 1;
    if (calls >= MAX_CALLS_AT_WORKER) {
      this.counts.foundFull += 1;
      this.work(router, WORKER_CALL_CPU_MS, () => this.pause(router, worker, taken));
      return;
    }
    this.callsAtWorker.set(id, calls + 1);
    const pieces = taken.reduce((sum, stage) => sum + stage.pieces, 0);
    const callMs = LIMITS.callOverheadMs + LIMITS.pieceMs * pieces;
    this.after(callMs * (calls + 1), () => {
      this.callsAtWorker.set(id, (this.callsAtWorker.get(id) ?? 1) - 1);
      this.work(router, WORKER_CALL_CPU_MS + PIECE_CPU_MS * pieces, () => {
        router.refusals.set(id, 0);
        router.calling.delete(id);
        taken.forEach((stage) => this.work(stage.home, ORDER_CPU_MS, () => this.serve(stage)));
        this.callWorker(router, worker);
      });
    });
  }

  private pause(router: Router, worker: SimulatedWorker, taken: readonly Stage[]): void {
    const { id } = worker;
    const shard = this.policy.shardOf(worker);
    const refusals = (router.refusals.get(id) ?? 0) + 1;
    const candidates = this.policy.candidates(shard);
    const isCandidate = candidates.includes(router.member.name);
    const isOwner = candidates[0] === router.member.name;
    const fellows = isCandidate ? candidates.length : this.routers.size;
    const senders = isOwner ? 1 : fellows;
    const pauseMs = this.policy.refusedPauseMs({ refusals, senders });
    router.refusals.set(id, refusals);
    router.calling.delete(id);
    router.retryAtMs.set(id, this.nowMs + pauseMs);
    router.queues.set(shard, [...taken, ...(router.queues.get(shard) ?? [])]);
    this.dispatch(router, shard);
    this.after(pauseMs, () => this.callWorker(router, worker));
  }

  private serve(stage: Stage): void {
    if (!stage.isEnded) {
      this.counts.served += 1;
      end(stage);
    }
  }

  /** Runs something once the CPU of a router has done the work before it, and this. */
  private work(router: Router, cpuMs: number, run: () => void): void {
    const startsAtMs = Math.max(this.nowMs, router.busyUntilMs);
    router.busyUntilMs = startsAtMs + (cpuMs * router.slowness) / router.member.cpuCores;
    this.after(router.busyUntilMs - this.nowMs, run);
  }

  private checkLag(): void {
    this.routers.forEach((router) => router.credit.recordLag(this.silenceMs(router)));
    this.after(LAG_CHECK_MS, () => this.checkLag());
  }

  private after(delayMs: number, run: () => void): void {
    this.events.add({ atMs: this.nowMs + delayMs, run });
  }
}

function end(stage: Stage): void {
  if (!stage.isEnded) {
    leave(stage);
    stage.isEnded = true;
  }
}

function leave(stage: Stage): void {
  if (stage.at) {
    stage.at.pieces -= stage.pieces;
    stage.at = undefined;
  }
}

function createRouter(member: Member): Router {
  const router: Router = {
    member,
    busyUntilMs: 0,
    slowness: 1,
    pieces: 0,
    credit: OwnerCredit.create({ piecesInProgress: () => router.pieces }),
    queues: new Map(),
    retryAtMs: new Map(),
    refusals: new Map(),
    calling: new Set(),
  };
  return router;
}

function pick<Item>(items: readonly Item[], random: () => number): Item {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) {
    throw new Error('nothing to pick from');
  }
  return item;
}
