/** Routers on one manual clock that stop in a series and share stage workers, with links in memory. */
import { ResultMemory, type RunPieces } from '@galenatiller/pool';
import type { PeerRouter } from '@galenatiller/routerLink';
import type { Member } from '@galenatiller/store';
import { TargetDirectory, TargetLoads } from '@galenatiller/target';
import { TaskGroup } from '@galenatiller/tasks';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { PieceResult, RegisteredTarget } from '@galenatiller/types';

import { ServiceOwners, ServiceShards, StageSubmitter } from '../src/ownership/index.js';
import { RouteTable } from '../src/routeTable.js';
import { StageWorkers } from '../src/stageWorkers.js';
import { StopWorld, type Surroundings } from './stopWorld.js';
import { CONFIGURATION, createSilentNotices } from './support.js';

/** Options of {@link FleetWorld.create}. */
export interface FleetOptions {
  readonly routers: number;
  readonly limitMs: number;
  readonly random: () => number;
  /** Time of a call to a stage worker. */
  readonly callMs: () => number;
  readonly around: Omit<Surroundings, 'pieceMs' | 'batchesEndAtMs'>;
  /** Whether the store is away, so that no change of the members is seen. */
  readonly isStoreAway: (nowMs: number) => boolean;
}

interface FleetRouter {
  readonly name: string;
  readonly world: StopWorld;
  readonly workers: StageWorkers;
  readonly submitter: StageSubmitter;
  readonly setMembers: (members: readonly Member[]) => void;
  isUp: boolean;
}

const SERVICE = 'stage';
const SHARD = 'stage/0';
const WORKERS = ['1', '2', '3'];
const MAX_CALLS = 2;
const LIMITS = {
  maxPieces: 4,
  callOverheadMs: 200,
  pieceMs: 20,
  resultMemoryBytes: 1_000_000,
  resultTtlMs: 4_000,
};

/** A process is started again after this time. */
const RESTART_MS = 800;

const STORE_DELAY_MS = 30;
const LINK_DELAY_MS = 2;

/** Routers that own a stage service in turn. */
export class FleetWorld {
  readonly clock = ManualClock.create({ startWallMs: 1_000_000 });

  readonly timer = TimerService.create({ clock: this.clock });

  /** All routers that have run, including those that have ended. */
  readonly worlds: StopWorld[] = [];

  private readonly routers = new Map<string, FleetRouter>();

  private readonly members = new Map<string, Member>();

  private readonly callsAtWorker = new Map<string, number>();

  private readonly names: readonly string[];

  private leavers = 0;

  private made = 0;

  private constructor(private readonly opts: FleetOptions) {
    this.names = Array.from({ length: opts.routers }, (_, index) => `router-${index}`);
    this.names.forEach((name) => this.start(name));
  }

  /** Creates and runs the routers. */
  static create(opts: FleetOptions): FleetWorld {
    return new FleetWorld(opts);
  }

  /** The router of a number that runs now; undefined while it is started again. */
  find(index: number): StopWorld | undefined {
    const router = this.routers.get(this.names[index] ?? '');
    return router?.isUp ? router.world : undefined;
  }

  private start(name: string): void {
    const router = this.createRouter(name);
    this.routers.set(name, router);
    this.worlds.push(router.world);
    this.setMember({ name, address: name, cpuCores: 1, availabilityZone: '', leavingSince: 0 });
  }

  private createRouter(name: string): FleetRouter {
    const { timer, opts } = this;
    const owners = ServiceOwners.create({ selfName: name, hash: hashText });
    const resultMemory = ResultMemory.create({
      timer,
      freeResults: () => Promise.resolve(),
      pausedMs: () => 0,
      onMemoryFreed: () => {},
    });
    const workers = this.createWorkers(resultMemory);
    const submitter = StageSubmitter.create({
      timer,
      selfName: name,
      owners,
      peers: {
        find: (peer) => (peer === name ? undefined : this.createLink(peer)),
        isIsolated: () => this.names.every((other) => !this.isReached(other, name)),
      },
      chooseShard: () => SHARD,
      canAcceptLocally: () => true,
      submitLocally: (submitted) => workers.submit(submitted),
      resultMemory,
    });
    const world = StopWorld.create({
      limitMs: opts.limitMs,
      around: { ...opts.around, pieceMs: () => 0, batchesEndAtMs: 0 },
      clock: this.clock,
      submitPiece: submitter.submit,
      batchesInProgress: () => workers.batchesInProgress,
      onStop: () => {
        this.leavers += 1;
        this.setMember({
          name,
          address: name,
          cpuCores: 1,
          availabilityZone: '',
          leavingSince: this.leavers,
        });
      },
      onLeave: () => this.removeMember(name),
      onClose: () => this.end(name),
    });
    const setMembers = (members: readonly Member[]): void => {
      owners.setMembers(members);
      workers.handBack((service) => this.isReached(owners.findOwner(service), name));
    };
    return { name, world, workers, submitter, setMembers, isUp: true };
  }

  private end(name: string): void {
    const router = this.routers.get(name);
    if (router) {
      router.isUp = false;
      this.timer.after({ delayMs: RESTART_MS, notify: () => this.start(name) });
    }
  }

  private isReached(name: string, from: string): boolean {
    return name !== from && (this.routers.get(name)?.isUp ?? false) && this.members.has(name);
  }

  private createLink(name: string): PeerRouter | undefined {
    const router = this.routers.get(name);
    if (!router?.isUp) {
      return undefined;
    }
    const link: Pick<PeerRouter, 'isOpen' | 'canAccept' | 'submitPiece' | 'free'> = {
      isOpen: true,
      canAccept: true,
      submitPiece: async (order) => {
        const result = router.submitter.submitForPeer(order);
        return Promise.race([result, this.whenLost(router)]);
      },
      free: (handles) => {
        router.submitter.free(handles);
        return router.isUp;
      },
    };
    return link as PeerRouter;
  }

  private async whenLost(router: FleetRouter): Promise<undefined> {
    while (router.isUp) {
      await this.timer.sleep({ delayMs: LINK_DELAY_MS * 20 });
    }
    return undefined;
  }

  private createWorkers(resultMemory: ResultMemory): StageWorkers {
    const { timer, opts } = this;
    const targets = TargetDirectory.create({ timer, onChange: () => {} });
    WORKERS.forEach((id) => targets.put({ id, target: createWorker(id), storeRevision: 1 }));
    const routes = RouteTable.create();
    const service = { name: SERVICE, maxColdRequestsPerSecond: 0, batch: LIMITS };
    routes.update({ ...CONFIGURATION, services: [service] });
    const workers = StageWorkers.create({
      timer,
      routes,
      targets,
      notices: createSilentNotices(timer),
      loads: TargetLoads.create({ timer, onEvent: () => {} }),
      resultMemory,
      isExcluded: () => false,
      shards: ServiceShards.create({ hash: hashText, findLimits: () => LIMITS }),
      countSenders: () => 1,
      random: opts.random,
      runPieces: this.runPieces,
      onBatch: () => {},
      onStageAbandoned: () => {},
      onDelayedTaken: () => {},
      onUneven: () => {},
      tasks: TaskGroup.create({
        onFailure: (error) => {
          throw error;
        },
      }),
    });
    workers.refresh();
    return workers;
  }

  /** A worker takes few calls at once, from all routers together. */
  private readonly runPieces: RunPieces = async ({ target, pieces, signal }) => {
    const calls = this.callsAtWorker.get(target.id) ?? 0;
    if (calls >= MAX_CALLS) {
      return { kind: 'refused', detail: 'full' };
    }
    this.callsAtWorker.set(target.id, calls + 1);
    await this.timer.sleep({ delayMs: this.opts.callMs(), signal });
    this.callsAtWorker.set(target.id, (this.callsAtWorker.get(target.id) ?? 1) - 1);
    if (signal.aborted) {
      return { kind: 'broken', detail: 'aborted' };
    }
    const results = pieces.map((): PieceResult => {
      this.made += 1;
      return { kind: 'made', handle: `${target.address}/${this.made}` };
    });
    return { kind: 'answered', results, discard: () => {} };
  };

  private setMember(member: Member): void {
    this.members.set(member.name, member);
    this.notify();
  }

  private removeMember(name: string): void {
    this.members.delete(name);
    this.notify();
  }

  /** Tells each router of the members, once the store is there. */
  private notify(): void {
    const { timer, opts } = this;
    const delayMs = STORE_DELAY_MS * (1 + opts.random());
    timer.after({
      delayMs,
      notify: () => {
        if (opts.isStoreAway(timer.nowMs())) {
          this.notify();
          return;
        }
        this.routers.forEach((router) => {
          if (router.isUp) {
            router.setMembers([...this.members.values()]);
          }
        });
      },
    });
  }
}

function createWorker(id: string): RegisteredTarget {
  return {
    id,
    startedWallMs: 1,
    service: SERVICE,
    address: `10.0.0.${id}:1`,
    availabilityZone: 'zone',
    version: 'v1',
    slots: 1,
    state: 'ready',
  };
}

function hashText(text: string): number {
  return Buffer.from(text).reduce((hash, byte) => (hash * 31 + byte) % 4_294_967_291, 7);
}
