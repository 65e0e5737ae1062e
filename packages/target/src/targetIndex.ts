import type { RegisteredTarget } from '@galenatiller/types';

/** A target that a directory knows. */
export interface IndexedTarget {
  readonly target: RegisteredTarget;
  /** Set while the entry is missing after a store outage and may still return. */
  readonly expiresAtMs: number | undefined;
  /** Rises with each new target, so that targets are listed in the order in which they came. */
  readonly position: number;
}

type Group = Map<string, IndexedTarget>;

/** Targets by id, and by service and address, each in the order in which they came. */
export class TargetIndex {
  private readonly entries: Group = new Map();

  private readonly byService = new Map<string, Group>();

  private readonly byAddress = new Map<string, Group>();

  private nextPosition = 0;

  private constructor() {}

  /** Creates an index without targets. */
  static create(): TargetIndex {
    return new TargetIndex();
  }

  /** Number of targets. */
  get size(): number {
    return this.entries.size;
  }

  /** Ids of all targets. */
  ids(): readonly string[] {
    return [...this.entries.keys()];
  }

  /** All targets. */
  all(): readonly RegisteredTarget[] {
    return toTargets(this.entries);
  }

  /** The target with an id. */
  find(id: string): IndexedTarget | undefined {
    return this.entries.get(id);
  }

  /** The targets of a service. */
  ofService(service: string): readonly RegisteredTarget[] {
    return toTargets(this.byService.get(service));
  }

  /** The targets at an address. */
  atAddress(address: string): readonly IndexedTarget[] {
    return [...(this.byAddress.get(address)?.values() ?? [])];
  }

  /** Adds a target, or replaces the one with the same id. */
  set(target: RegisteredTarget, expiresAtMs: number | undefined): void {
    const { id, service, address } = target;
    const before = this.entries.get(id);
    const entry = { target, expiresAtMs, position: before?.position ?? this.nextPosition };
    if (before) {
      this.removeFromGroups(before.target, entry.target);
    } else {
      this.nextPosition += 1;
    }
    this.entries.set(id, entry);
    addToGroup(this.byService, service, entry, before?.target.service);
    addToGroup(this.byAddress, address, entry, before?.target.address);
  }

  /** Removes a target. */
  delete(id: string): void {
    const before = this.entries.get(id);
    if (before) {
      this.entries.delete(id);
      this.removeFromGroups(before.target, undefined);
    }
  }

  /** Removes a target from the groups that it no longer belongs to. */
  private removeFromGroups(before: RegisteredTarget, after: RegisteredTarget | undefined): void {
    if (before.service !== after?.service) {
      removeFromGroup(this.byService, before.service, before.id);
    }
    if (before.address !== after?.address) {
      removeFromGroup(this.byAddress, before.address, before.id);
    }
  }
}

function toTargets(group: Group | undefined): readonly RegisteredTarget[] {
  return group ? Array.from(group.values(), ({ target }) => target) : [];
}

function addToGroup(
  groups: Map<string, Group>,
  key: string,
  entry: IndexedTarget,
  keyBefore: string | undefined,
): void {
  const group = groups.get(key) ?? new Map<string, IndexedTarget>();
  groups.set(key, group);
  group.set(entry.target.id, entry);
  // A new target is the last one; one that moves here from another group may be older than others.
  if (keyBefore !== undefined && keyBefore !== key) {
    const ordered = [...group.values()].sort((left, right) => left.position - right.position);
    group.clear();
    ordered.forEach((moved) => group.set(moved.target.id, moved));
  }
}

function removeFromGroup(groups: Map<string, Group>, key: string, id: string): void {
  const group = groups.get(key);
  group?.delete(id);
  if (group?.size === 0) {
    groups.delete(key);
  }
}
