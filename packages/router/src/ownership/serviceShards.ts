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
  /** What the split was computed from. */
  readonly inputs: SplitInputs;
  readonly shards: readonly Shard[];
  readonly shardOfWorker: (worker: Worker) => Shard | undefined;
}

interface SplitInputs {
  readonly maxCores: number;
  readonly piecesPerMs: number;
  /** Zones of the workers, by their ids. */
  readonly zones: ReadonlyMap<string, string>;
}

/**
 * Splits the workers of each stage service into shards, the same on every node that knows the same
 * targets and routers: one shard if a router can fill all workers, and else one for each zone or
 * more.
 */
export class ServiceShards {
  private readonly splits = new Map<string, ServiceSplit>();

  private maxCores = 0;

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
    const byService = groupBy(opts.workers, ({ service }) => service);
    const changed = this.follow({
      ...opts,
      services: new Set([...this.splits.keys(), ...byService.keys()]),
      findWorkers: (service) => byService.get(service) ?? [],
    });
    return changed.size > 0;
  }

  /** Splits those services again whose workers or limits have changed; returns them. */
  follow(opts: {
    /** Services whose workers or limits may have changed. */
    readonly services: ReadonlySet<string>;
    readonly findWorkers: (service: string) => readonly Worker[];
    readonly members: readonly Pick<Member, 'cpuCores'>[];
  }): ReadonlySet<string> {
    const { services, findWorkers, members } = opts;
    const maxCores = members.reduce((max, { cpuCores }) => Math.max(max, cpuCores), 0);
    const changed = maxCores === this.maxCores ? services : [...services, ...this.splits.keys()];
    this.maxCores = maxCores;
    const candidates = [...new Set(changed)];
    return new Set(candidates.filter((service) => this.splitAgain(service, findWorkers, maxCores)));
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

  /** Splits a service again; false if nothing has changed. */
  private splitAgain(
    service: string,
    findWorkers: (service: string) => readonly Worker[],
    maxCores: number,
  ): boolean {
    const before = this.splits.get(service);
    const limits = this.opts.findLimits(service);
    const own = limits ? findWorkers(service) : [];
    if (!limits || own.length === 0) {
      return this.splits.delete(service);
    }
    const zones = new Map(own.map(({ id, availabilityZone }) => [id, availabilityZone]));
    const inputs = { maxCores, piecesPerMs: computePiecesPerMs(limits), zones };
    if (before && areSameInputs(before.inputs, inputs)) {
      return false;
    }
    this.splits.set(service, { inputs, ...this.split({ service, own, inputs }) });
    return true;
  }

  private split(opts: {
    readonly service: string;
    readonly own: readonly Worker[];
    readonly inputs: SplitInputs;
  }): Omit<ServiceSplit, 'inputs'> {
    const { service, own } = opts;
    const { maxCores, piecesPerMs } = opts.inputs;
    const loadCores = own.length * piecesPerMs * PIECE_CPU_MS;
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

function areSameInputs(before: SplitInputs, after: SplitInputs): boolean {
  return (
    before.maxCores === after.maxCores &&
    before.piecesPerMs === after.piecesPerMs &&
    before.zones.size === after.zones.size &&
    [...after.zones].every(([id, zone]) => before.zones.get(id) === zone)
  );
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
