import type { Member } from '@galenatiller/store';
import type { BatchLimits, RegisteredTarget } from '@galenatiller/types';

/** A part of the workers of a stage service that one router fills with pieces. */
export interface Shard {
  readonly key: string;
  readonly service: string;
  /** Zones whose workers belong to the shard. */
  readonly zones: readonly string[];
  /** CPU that its owner needs when all of its workers are busy, in cores. */
  readonly loadCores: number;
}

/** Options of {@link ServiceShards.create}. */
export interface ServiceShardsOptions {
  /** Hash of a text, the same on every node. */
  readonly hash: (text: string) => number;
  readonly findLimits: (service: string) => BatchLimits | undefined;
}

/** CPU time that the owner of a service needs for a piece. */
export const PIECE_CPU_MS = 0.5;

/** Share of its CPU that a router spends on the pieces of one shard; the rest is for its own calls. */
export const OWNER_CPU_SHARE = 0.5;

/**
 * With so many workers in each zone, a zone fills batch calls by itself, and the inputs of pieces
 * needn't cross zones.
 */
const MIN_WORKERS_PER_ZONE = 4;

type Worker = Pick<RegisteredTarget, 'id' | 'service' | 'availabilityZone'>;

interface ServiceSplit {
  readonly shards: readonly Shard[];
  readonly shardOfWorker: (worker: Worker) => Shard | undefined;
}

/**
 * Splits the workers of each stage service into shards, the same on every node that knows the same
 * targets and routers: one shard if a router can fill all workers, and else one for each zone or
 * more.
 */
export class ServiceShards {
  private splits = new Map<string, ServiceSplit>();

  private signature = '';

  private constructor(private readonly opts: ServiceShardsOptions) {}

  /** Creates an instance that knows no workers. */
  static create(opts: ServiceShardsOptions): ServiceShards {
    return new ServiceShards(opts);
  }

  /** Splits the services again; false if nothing has changed. */
  update(opts: {
    readonly workers: readonly Worker[];
    readonly members: readonly Pick<Member, 'cpuCores'>[];
  }): boolean {
    const { workers, members } = opts;
    const maxCores = members.reduce((max, { cpuCores }) => Math.max(max, cpuCores), 0);
    const stageWorkers = workers.filter(({ service }) => this.opts.findLimits(service));
    const signature = this.describe(stageWorkers, maxCores);
    if (signature === this.signature) {
      return false;
    }
    this.signature = signature;
    const byService = groupBy(stageWorkers, ({ service }) => service);
    this.splits = new Map(
      [...byService].map(([service, own]) => [service, this.split({ service, own, maxCores })]),
    );
    return true;
  }

  /** All shards of all services. */
  all(): readonly Shard[] {
    return [...this.splits.values()].flatMap(({ shards }) => shards);
  }

  /** The shards of a service; one without workers if none is known. */
  findShards(service: string): readonly Shard[] {
    return this.splits.get(service)?.shards ?? [createWholeShard(service)];
  }

  /** The shard of a worker. */
  findShardOf(worker: Worker): Shard {
    const shard = this.splits.get(worker.service)?.shardOfWorker(worker);
    return shard ?? createWholeShard(worker.service);
  }

  /** The shard with a key, or another one of the service if nodes disagree on how it is split. */
  resolve(opts: { readonly service: string; readonly key: string }): Shard {
    const shards = this.findShards(opts.service);
    return (
      shards.find(({ key }) => key === opts.key) ?? shards[0] ?? createWholeShard(opts.service)
    );
  }

  private describe(workers: readonly Worker[], maxCores: number): string {
    const names = workers.map(({ id, service, availabilityZone }) => {
      const limits = this.opts.findLimits(service);
      return `${id} ${service} ${availabilityZone} ${limits ? computePiecesPerMs(limits) : 0}`;
    });
    return [maxCores, ...names.sort()].join('\n');
  }

  private split(opts: {
    readonly service: string;
    readonly own: readonly Worker[];
    readonly maxCores: number;
  }): ServiceSplit {
    const { service, own, maxCores } = opts;
    const limits = this.opts.findLimits(service);
    const loadCores = limits ? own.length * computePiecesPerMs(limits) * PIECE_CPU_MS : 0;
    const zones = [...groupBy(own, ({ availabilityZone }) => availabilityZone).keys()].sort();
    const needed = maxCores > 0 ? Math.ceil(loadCores / (OWNER_CPU_SHARE * maxCores)) : 1;
    const byZone = own.length >= MIN_WORKERS_PER_ZONE * zones.length ? zones.length : 1;
    const count = Math.min(own.length, Math.max(needed, byZone));
    const keyOf =
      count < zones.length
        ? (worker: Worker): string => {
            const position = zones.indexOf(worker.availabilityZone);
            return `${service}/${Math.floor((position * count) / zones.length)}`;
          }
        : this.createZoneKeys(service, Math.ceil(count / zones.length));
    const shards = [...groupBy(own, keyOf)].map(([key, workers]) => ({
      key,
      service,
      zones: [...new Set(workers.map(({ availabilityZone }) => availabilityZone))],
      loadCores: (loadCores * workers.length) / own.length,
    }));
    const byKey = new Map(shards.map((shard) => [shard.key, shard]));
    return { shards, shardOfWorker: (worker) => byKey.get(keyOf(worker)) };
  }

  /** Keys of shards that are parts of a zone, so that they stay when another zone is lost. */
  private createZoneKeys(service: string, shardsPerZone: number): (worker: Worker) => string {
    return ({ id, availabilityZone }) => {
      const part = shardsPerZone === 1 ? 0 : this.opts.hash(id) % shardsPerZone;
      return `${service}/${availabilityZone}/${part}`;
    };
  }
}

/** The shard of a service whose workers are not known. */
function createWholeShard(service: string): Shard {
  return { key: `${service}/0`, service, zones: [], loadCores: 0 };
}

function computePiecesPerMs(limits: BatchLimits): number {
  const callMs = limits.callOverheadMs + limits.pieceMs * limits.maxPieces;
  return limits.maxPieces / Math.max(1, callMs);
}

function groupBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  items.forEach((item) => {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) {
      group.push(item);
    } else {
      groups.set(key, [item]);
    }
  });
  return groups;
}
