import type { Member } from '@galenatiller/store';

/** Options of {@link ServiceOwners.create}. */
export interface ServiceOwnersOptions {
  readonly selfName: string;
  /** Hash of a text, the same on every node. */
  readonly hash: (text: string) => number;
}

/** An owner has at least this share of the CPU capacity of the largest router. */
const MIN_OWNER_CAPACITY = 0.5;

/** Assigns each service to one live router by rendezvous hashing, the same on every node. */
export class ServiceOwners {
  private members: readonly Member[] = [];

  /** Name of the owner of each service, until the members change. */
  private readonly owners = new Map<string, string>();

  private constructor(private readonly opts: ServiceOwnersOptions) {}

  /** Creates an instance that knows only this node. */
  static create(opts: ServiceOwnersOptions): ServiceOwners {
    return new ServiceOwners(opts);
  }

  /** Sets the live routers. */
  setMembers(members: readonly Member[]): void {
    this.members = members;
    this.owners.clear();
  }

  /** Whether this node owns a service. */
  isOwner(service: string): boolean {
    return this.findOwner(service) === this.opts.selfName;
  }

  /** Name of the router that owns a service. */
  findOwner(service: string): string {
    const known = this.owners.get(service);
    if (known !== undefined) {
      return known;
    }
    const { hash, selfName } = this.opts;
    const candidates = findCandidates(this.members);
    const maxCores = Math.max(...candidates.map(({ cpuCores }) => cpuCores));
    const ranked = candidates
      .filter(({ cpuCores }) => cpuCores >= maxCores * MIN_OWNER_CAPACITY)
      .map(({ name }) => ({ name, rank: hash(`${service} ${name}`) }))
      .sort((left, right) => right.rank - left.rank);
    const owner = ranked[0]?.name ?? selfName;
    this.owners.set(service, owner);
    return owner;
  }
}

/** Routers that stay; if all are leaving, the one that began last and so lives longest. */
function findCandidates(members: readonly Member[]): readonly Member[] {
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
