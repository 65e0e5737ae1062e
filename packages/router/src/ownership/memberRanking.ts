import type { Member } from '@galenatiller/store';

/** A router, and its weighted rendezvous score for a task. */
interface RankedMember {
  readonly member: Member;
  readonly score: number;
}

interface KeptRanking {
  readonly ranked: readonly RankedMember[];
  readonly members: readonly Member[];
}

/** Options of {@link MemberRanking.create}. */
export interface MemberRankingOptions {
  /** Hash of a text, the same on every node. */
  readonly hash: (text: string) => number;
}

const HASH_RANGE = 4_294_967_296;

/**
 * Ranks routers for tasks by weighted rendezvous hashing. The ranking of a task that is kept is only
 * corrected when routers come and go, so that no router is scored again.
 */
export class MemberRanking {
  private members = new Map<string, Member>();

  private readonly kept = new Map<string, KeptRanking>();

  private constructor(private readonly opts: MemberRankingOptions) {}

  /** Creates a ranking without routers. */
  static create(opts: MemberRankingOptions): MemberRanking {
    return new MemberRanking(opts);
  }

  /** Sets the routers; false if none of them has changed. */
  setMembers(members: readonly Member[]): boolean {
    const before = this.members;
    this.members = new Map(members.map((member) => [member.name, member]));
    const added = members.filter((member) => !isSame(before.get(member.name), member));
    const removed = new Set(
      [...before.values()]
        .filter((member) => !isSame(this.members.get(member.name), member))
        .map(({ name }) => name),
    );
    if (added.length === 0 && removed.size === 0) {
      return false;
    }
    this.kept.forEach(({ ranked }, task) => {
      const staying = ranked.filter(({ member }) => !removed.has(member.name));
      this.keep(task, merge(staying, this.score(task, added)));
    });
    return true;
  }

  /** Keeps the rankings of these tasks, and no others. */
  keepOnly(tasks: ReadonlySet<string>): void {
    [...this.kept.keys()]
      .filter((task) => !tasks.has(task))
      .forEach((task) => this.kept.delete(task));
    [...tasks]
      .filter((task) => !this.kept.has(task))
      .forEach((task) => this.keep(task, this.score(task, [...this.members.values()])));
  }

  /** The routers, from the one with the highest score down. */
  rank(task: string): readonly Member[] {
    return this.kept.get(task)?.members ?? toMembers(this.score(task, [...this.members.values()]));
  }

  /** The router with the highest score. */
  findFirst(task: string): Member | undefined {
    const kept = this.kept.get(task);
    if (kept) {
      return kept.members[0];
    }
    let first: RankedMember | undefined;
    this.members.forEach((member) => {
      const ranked = { member, score: this.computeScore(task, member) };
      first = first && first.score >= ranked.score ? first : ranked;
    });
    return first?.member;
  }

  private keep(task: string, ranked: readonly RankedMember[]): void {
    this.kept.set(task, { ranked, members: toMembers(ranked) });
  }

  private score(task: string, members: readonly Member[]): readonly RankedMember[] {
    return members
      .map((member) => ({ member, score: this.computeScore(task, member) }))
      .sort((left, right) => right.score - left.score);
  }

  private computeScore(task: string, { name, cpuCores }: Member): number {
    const uniform = (this.opts.hash(`${task} ${name}`) + 1) / (HASH_RANGE + 1);
    return cpuCores / -Math.log(uniform);
  }
}

function toMembers(ranked: readonly RankedMember[]): readonly Member[] {
  return ranked.map(({ member }) => member);
}

/** Whether nothing has changed that the assignment of tasks depends on. */
function isSame(before: Member | undefined, after: Member): boolean {
  return (
    before?.cpuCores === after.cpuCores &&
    before.availabilityZone === after.availabilityZone &&
    before.leavingSince === after.leavingSince
  );
}

/** Merges two lists that are sorted by score. */
function merge(
  kept: readonly RankedMember[],
  added: readonly RankedMember[],
): readonly RankedMember[] {
  const merged: RankedMember[] = [];
  let next = 0;
  kept.forEach((ranked) => {
    for (; next < added.length && (added[next]?.score ?? 0) > ranked.score; next += 1) {
      merged.push(...added.slice(next, next + 1));
    }
    merged.push(ranked);
  });
  return [...merged, ...added.slice(next)];
}
