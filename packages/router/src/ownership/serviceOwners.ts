import type { Member } from '@galenatiller/store';

import { OWNER_CPU_SHARE, type Shard } from './serviceShards.js';

/** Options of {@link ServiceOwners.create}. */
export interface ServiceOwnersOptions {
  readonly selfName: string;
  /** Hash of a text, the same on every node. */
  readonly hash: (text: string) => number;
}

/** An owner has at least this share of the CPU capacity of the largest router. */
const MIN_OWNER_CAPACITY = 0.5;

/** Routers that may fill a shard: its owner, and deputies while it can't be reached. */
export const MAX_CANDIDATES = 3;

/** How far the load of an owner may exceed what an even spread over all routers would give it. */
const MAX_UNEVENNESS = 1.25;

const HASH_RANGE = 4_294_967_296;

/**
 * Assigns each service and shard to one live router, and a few deputies to it, the same on every
 * node: by rendezvous hashing, weighted by capacity, over routers whose capacity isn't used up by
 * what they own already.
 */
export class ServiceOwners {
  private members: readonly Member[] = [];

  private shards: readonly Shard[] = [];

  /** Names of the candidates for each service and shard, until the members or shards change. */
  private readonly candidates = new Map<string, readonly string[]>();

  /** Names of the routers that share a task, until the members change. */
  private readonly sharers = new Map<string, readonly string[]>();

  private constructor(private readonly opts: ServiceOwnersOptions) {}

  /** Creates an instance that knows only this node. */
  static create(opts: ServiceOwnersOptions): ServiceOwners {
    return new ServiceOwners(opts);
  }

  /** Sets the live routers. */
  setMembers(members: readonly Member[]): void {
    this.members = members;
    this.assignShards();
  }

  /** Sets the shards that have to be owned. */
  setShards(shards: readonly Shard[]): void {
    this.shards = shards;
    this.assignShards();
  }

  /** Whether this node owns a service or shard. */
  isOwner(name: string): boolean {
    return this.findOwner(name) === this.opts.selfName;
  }

  /** Name of the router that owns a service or shard. */
  findOwner(name: string): string {
    return this.findCandidates(name)[0] ?? this.opts.selfName;
  }

  /** Names of the routers that may fill a shard: its owner, and then its deputies. */
  findCandidates(name: string): readonly string[] {
    const known = this.candidates.get(name);
    if (known) {
      return known;
    }
    const ranked = this.rank(name);
    const [first] = ranked;
    const found = first ? chooseCandidates(first, ranked, MAX_CANDIDATES) : [this.opts.selfName];
    this.candidates.set(name, found);
    return found;
  }

  /** Names of the routers that have a task which a number of routers share. */
  findSharers(task: string, count: number): readonly string[] {
    const known = this.sharers.get(task);
    if (known) {
      return known;
    }
    const ranked = this.rank(task);
    const [first] = ranked;
    const found = first ? chooseCandidates(first, ranked, count) : [];
    this.sharers.set(task, found);
    return found;
  }

  /** Number of live routers, including those that are leaving. */
  get size(): number {
    return this.members.length;
  }

  private assignShards(): void {
    this.candidates.clear();
    this.sharers.clear();
    const eligible = findEligible(this.members);
    const totalCores = eligible.reduce((sum, { cpuCores }) => sum + cpuCores, 0);
    const totalLoad = this.shards.reduce((sum, { loadCores }) => sum + loadCores, 0);
    const maxUse = Math.max(OWNER_CPU_SHARE, (MAX_UNEVENNESS * totalLoad) / totalCores);
    const owned = new Map<string, number>();
    const ordered = this.shards.toSorted(
      (left, right) => right.loadCores - left.loadCores || (left.key < right.key ? -1 : 1),
    );
    ordered.forEach(({ key, loadCores }) => {
      const ranked = this.rank(key);
      const owner =
        ranked.find(
          ({ name, cpuCores }) => (owned.get(name) ?? 0) + loadCores <= cpuCores * maxUse,
        ) ?? findLeastUsed(ranked, owned);
      if (!owner) {
        return;
      }
      owned.set(owner.name, (owned.get(owner.name) ?? 0) + loadCores);
      this.candidates.set(key, chooseCandidates(owner, ranked, MAX_CANDIDATES));
    });
  }

  /** The eligible routers, from the one with the highest weighted rendezvous score down. */
  private rank(name: string): readonly Member[] {
    const { hash } = this.opts;
    return findEligible(this.members)
      .map((member) => {
        const uniform = (hash(`${name} ${member.name}`) + 1) / (HASH_RANGE + 1);
        return { member, score: member.cpuCores / -Math.log(uniform) };
      })
      .sort((left, right) => right.score - left.score)
      .map(({ member }) => member);
  }
}

/**
 * Names of so many routers, a given one first, spread evenly over zones, since zones are lost as a
 * whole.
 */
function chooseCandidates(
  first: Member,
  ranked: readonly Member[],
  count: number,
): readonly string[] {
  const chosen = [first];
  while (chosen.length < Math.min(count, ranked.length)) {
    const inZone = ({ availabilityZone: zone }: Member): number =>
      chosen.filter(({ availabilityZone }) => availabilityZone === zone).length;
    const others = ranked.filter((member) => !chosen.includes(member));
    const fewest = Math.min(...others.map(inZone));
    chosen.push(...others.filter((member) => inZone(member) === fewest).slice(0, 1));
  }
  return chosen.map(({ name }) => name);
}

function findLeastUsed(
  members: readonly Member[],
  owned: ReadonlyMap<string, number>,
): Member | undefined {
  const useOf = ({ name, cpuCores }: Member): number => (owned.get(name) ?? 0) / cpuCores;
  return members.reduce<Member | undefined>(
    (found, member) => (found && useOf(found) <= useOf(member) ? found : member),
    undefined,
  );
}

/** Routers that stay and have enough CPU; if all are leaving, the last one to leave. */
function findEligible(members: readonly Member[]): readonly Member[] {
  const staying = findStaying(members);
  const maxCores = Math.max(...staying.map(({ cpuCores }) => cpuCores));
  return staying.filter(({ cpuCores }) => cpuCores >= maxCores * MIN_OWNER_CAPACITY);
}

/** Routers that stay; if all are leaving, the one that began last and so lives longest. */
function findStaying(members: readonly Member[]): readonly Member[] {
  const staying = members.filter(({ leavingSince }) => leavingSince === 0);
  if (staying.length > 0) {
    return staying;
  }
  const last = members.reduce<Member | undefined>(
    (found, member) => (found && found.leavingSince > member.leavingSince ? found : member),
    undefined,
  );
  return last ? [last] : [];
}
