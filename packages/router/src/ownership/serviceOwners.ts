import type { Member } from '@galenatiller/store';

import { MemberRanking } from './memberRanking.js';
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

/**
 * Assigns each service and shard to one live router, and a few deputies to it, the same on every
 * node: by rendezvous hashing, weighted by capacity, over routers whose capacity isn't used up by
 * what they own already.
 */
export class ServiceOwners {
  private members: readonly Member[] = [];

  /** The routers that may own shards. */
  private eligible: readonly Member[] = [];

  private readonly ranking: MemberRanking;

  private shards: readonly Shard[] = [];

  /** Names of the candidates for each service and shard, the owner first, until the members change. */
  private readonly candidates = new Map<string, readonly string[]>();

  /** Names of the routers that share a task, until the members change. */
  private readonly sharers = new Map<string, readonly string[]>();

  private constructor(private readonly opts: ServiceOwnersOptions) {
    this.ranking = MemberRanking.create(opts);
  }

  /** Creates an instance that knows only this node. */
  static create(opts: ServiceOwnersOptions): ServiceOwners {
    return new ServiceOwners(opts);
  }

  /** Sets the live routers. */
  setMembers(members: readonly Member[]): void {
    this.members = members;
    this.eligible = findEligible(members);
    if (!this.ranking.setMembers(this.eligible)) {
      return;
    }
    this.candidates.clear();
    this.sharers.clear();
    this.assignShards();
  }

  /** Sets the shards that have to be owned. */
  setShards(shards: readonly Shard[]): void {
    const keys = new Set(shards.map(({ key }) => key));
    this.shards
      .filter(({ key }) => !keys.has(key))
      .forEach(({ key }) => this.candidates.delete(key));
    this.shards = shards;
    this.ranking.keepOnly(keys);
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
    const ranked = this.ranking.rank(name);
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
    const first = this.ranking.findFirst(task);
    const ranked = count > 1 ? this.ranking.rank(task) : [];
    const found = first ? chooseCandidates(first, ranked, count) : [];
    this.sharers.set(task, found);
    return found;
  }

  /** Number of live routers, including those that are leaving. */
  get size(): number {
    return this.members.length;
  }

  private assignShards(): void {
    const totalCores = this.eligible.reduce((sum, { cpuCores }) => sum + cpuCores, 0);
    const totalLoad = this.shards.reduce((sum, { loadCores }) => sum + loadCores, 0);
    const maxUse = Math.max(OWNER_CPU_SHARE, (MAX_UNEVENNESS * totalLoad) / totalCores);
    const owned = new Map<string, number>();
    const ordered = this.shards.toSorted(
      (left, right) => right.loadCores - left.loadCores || (left.key < right.key ? -1 : 1),
    );
    ordered.forEach(({ key, loadCores }) => {
      const ranked = this.ranking.rank(key);
      const owner =
        ranked.find(
          ({ name, cpuCores }) => (owned.get(name) ?? 0) + loadCores <= cpuCores * maxUse,
        ) ?? findLeastUsed(ranked, owned);
      if (!owner) {
        return;
      }
      owned.set(owner.name, (owned.get(owner.name) ?? 0) + loadCores);
      if (this.candidates.get(key)?.[0] !== owner.name) {
        this.candidates.set(key, chooseCandidates(owner, ranked, MAX_CANDIDATES));
      }
    });
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
  const chosen = new Set([first]);
  const inZone = new Map([[first.availabilityZone, 1]]);
  while (chosen.size < Math.min(count, ranked.length)) {
    const next = findInFewestZone(ranked, chosen, inZone);
    if (!next) {
      break;
    }
    chosen.add(next);
    inZone.set(next.availabilityZone, (inZone.get(next.availabilityZone) ?? 0) + 1);
  }
  return [...chosen].map(({ name }) => name);
}

/** The first router that isn't chosen yet, in a zone of which the fewest are chosen. */
function findInFewestZone(
  ranked: readonly Member[],
  chosen: ReadonlySet<Member>,
  inZone: ReadonlyMap<string, number>,
): Member | undefined {
  let found: Member | undefined;
  let fewest = Infinity;
  for (const member of ranked) {
    const count = inZone.get(member.availabilityZone) ?? 0;
    if (count < fewest && !chosen.has(member)) {
      found = member;
      fewest = count;
    }
    if (fewest === 0) {
      return found;
    }
  }
  return found;
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
