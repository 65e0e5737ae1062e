import type { TimerService } from '@galenatiller/timer';
import type { RegisteredTarget } from '@galenatiller/types';

import { findChangeKind, isAssignedAnew, type TargetChange } from './targetChange.js';
import { TargetIndex } from './targetIndex.js';
import { UsableTargets } from './usableTargets.js';

/** Options of {@link TargetDirectory.create}. */
export interface TargetDirectoryOptions {
  readonly timer: TimerService;
  readonly onChange: (change: TargetChange) => void;
}

/** The store's entry of one target. */
export interface TargetEntry {
  readonly id: string;
  /** Undefined for an entry that does not describe a valid target. */
  readonly target: RegisteredTarget | undefined;
  readonly storeRevision: number;
}

/** What has changed in a directory, as far as the assignment of targets to routers depends on it. */
export interface DirectoryChanges {
  /** Ids of the targets. */
  readonly ids: ReadonlySet<string>;
  /** Services that they belong to, or have belonged to. */
  readonly services: ReadonlySet<string>;
}

/** Live targets write their entries again within two seconds after the store is back. */
const REREGISTRATION_GRACE_MS = 2_200;

/**
 * An entry ends after several missed heartbeats, which are over a second apart. A shorter outage, such as
 * a watch that is cut, ends no entry of a live target.
 */
const MIN_EXPIRING_OUTAGE_MS = 2_000;

/** The targets that are registered in the store, and the zones that operators have taken out. */
export class TargetDirectory {
  private readonly index = TargetIndex.create();

  /** Usable targets by service, until one of the service or a zone changes. */
  private readonly usable = new Map<string, UsableTargets>();

  private changedIds = new Set<string>();

  private changedServices = new Set<string>();

  private readonly zonesOut = new Set<string>();

  private graceUntilMs = 0;

  private constructor(private readonly opts: TargetDirectoryOptions) {}

  /** Creates an empty directory. */
  static create(opts: TargetDirectoryOptions): TargetDirectory {
    return new TargetDirectory(opts);
  }

  /** Number of targets, whether ready or not. */
  get size(): number {
    return this.index.size;
  }

  /** Targets of a service that may get new work. */
  findUsable(service: string): readonly RegisteredTarget[] {
    return this.usableOf(service).targets;
  }

  /**
   * Targets of a service that may get new work, from the one that most prefers the prompts with a key
   * down: every node prefers the same targets.
   */
  rankUsable(opts: {
    readonly service: string;
    readonly key: string;
    /** Hash of a text, the same on every node. */
    readonly hash: (text: string) => number;
  }): readonly RegisteredTarget[] {
    return this.usableOf(opts.service).rank(opts.key, opts.hash);
  }

  /** All registered targets of a service. */
  findRegistered(service: string): readonly RegisteredTarget[] {
    return this.index.ofService(service);
  }

  /** The target with an id. */
  find(id: string): RegisteredTarget | undefined {
    return this.index.find(id)?.target;
  }

  /** The first registered target at an address. */
  findAtAddress(address: string): RegisteredTarget | undefined {
    return this.atAddresses([address])[0];
  }

  /** All registered targets. */
  all(): readonly RegisteredTarget[] {
    return this.index.all();
  }

  /** Whether the target may get new work; false when it was restarted or moved since. */
  isUsable(target: RegisteredTarget): boolean {
    const known = this.index.find(target.id);
    return (
      known?.target.startedWallMs === target.startedWallMs &&
      known.target.address === target.address &&
      known.target.state === 'ready' &&
      !this.zonesOut.has(target.availabilityZone)
    );
  }

  /** Zone that most of the given addresses belong to; empty when no target is known at them. */
  findMajorityZone(addresses: readonly string[]): string {
    const zones = this.atAddresses(addresses).flatMap(({ address, availabilityZone }) =>
      addresses.filter((givenAddress) => givenAddress === address).map(() => availabilityZone),
    );
    const counts = new Map<string, number>();
    zones.forEach((zone) => counts.set(zone, (counts.get(zone) ?? 0) + 1));
    return [...counts].sort(([, left], [, right]) => right - left)[0]?.[0] ?? '';
  }

  /** Replaces all entries. */
  replaceAll(entries: readonly TargetEntry[]): void {
    const ids = new Set(entries.map(({ id }) => id));
    this.index
      .ids()
      .filter((id) => !ids.has(id))
      .forEach((id) => {
        this.remove({ id, storeRevision: 0 });
      });
    entries.forEach((entry) => this.put(entry));
  }

  /** Applies an entry that was written. */
  put(entry: TargetEntry): void {
    const { id, target, storeRevision } = entry;
    const before = this.index.find(id);
    if (!target) {
      this.remove(entry);
      return;
    }
    this.set(target, undefined);
    const kind = findChangeKind(before?.target, target);
    if (kind) {
      this.notify(kind, target, storeRevision);
    }
  }

  /**
   * Applies the removal of an entry. Soon after an outage the target is kept until it had time to
   * write its entry again.
   */
  remove(opts: { readonly id: string; readonly storeRevision: number }): void {
    const { id, storeRevision } = opts;
    const before = this.index.find(id);
    if (!before || before.expiresAtMs !== undefined) {
      return;
    }
    const nowMs = this.opts.timer.nowMs();
    if (nowMs < this.graceUntilMs && before.target.state === 'ready') {
      this.set(before.target, this.graceUntilMs);
      this.opts.timer.after({ delayMs: this.graceUntilMs - nowMs, notify: () => this.expire(id) });
      this.notify('lapsed', before.target, storeRevision);
      return;
    }
    this.delete(before.target);
    this.notify('gone', before.target, storeRevision);
  }

  /**
   * Starts the grace period for missing entries, as the store is reachable again after an outage in which
   * entries of live targets may have expired.
   */
  onStoreReconnected(opts: { readonly awayMs: number }): void {
    if (opts.awayMs >= MIN_EXPIRING_OUTAGE_MS) {
      this.graceUntilMs = this.opts.timer.nowMs() + REREGISTRATION_GRACE_MS;
    }
  }

  /** Takes a zone out, so that its targets get no new work, or takes it in again. */
  setZoneOut(opts: {
    readonly zone: string;
    readonly isOut: boolean;
    readonly storeRevision: number;
  }): void {
    const { zone, isOut, storeRevision } = opts;
    if (this.zonesOut.has(zone) === isOut) {
      return;
    }
    if (isOut) {
      this.zonesOut.add(zone);
    } else {
      this.zonesOut.delete(zone);
    }
    this.usable.clear();
    this.opts.onChange({
      kind: isOut ? 'zone-out' : 'zone-in',
      name: zone,
      service: '',
      availabilityZone: zone,
      storeRevision,
    });
  }

  /** Zones that operators have taken out. */
  zonesTakenOut(): readonly string[] {
    return [...this.zonesOut];
  }

  /** Takes what has changed since the last call. */
  takeChanges(): DirectoryChanges {
    const changes = { ids: this.changedIds, services: this.changedServices };
    this.changedIds = new Set();
    this.changedServices = new Set();
    return changes;
  }

  private usableOf(service: string): UsableTargets {
    const known = this.usable.get(service);
    if (known) {
      return known;
    }
    const usable = this.findRegistered(service).filter((target) => this.isUsable(target));
    const found = UsableTargets.create(usable);
    this.usable.set(service, found);
    return found;
  }

  private atAddresses(addresses: readonly string[]): readonly RegisteredTarget[] {
    return [...new Set(addresses)]
      .flatMap((address) => this.index.atAddress(address))
      .sort((left, right) => left.position - right.position)
      .map(({ target }) => target);
  }

  private set(target: RegisteredTarget, expiresAtMs: number | undefined): void {
    const before = this.index.find(target.id)?.target;
    this.index.set(target, expiresAtMs);
    [before, target].forEach((changed) => changed && this.usable.delete(changed.service));
    if (!before || isAssignedAnew(before, target)) {
      [before, target].forEach((changed) => changed && this.noteChange(changed));
    }
  }

  private delete(target: RegisteredTarget): void {
    this.index.delete(target.id);
    this.usable.delete(target.service);
    this.noteChange(target);
  }

  private noteChange({ id, service }: RegisteredTarget): void {
    this.changedIds.add(id);
    this.changedServices.add(service);
  }

  private expire(id: string): void {
    const known = this.index.find(id);
    if (known?.expiresAtMs === undefined) {
      return;
    }
    this.delete(known.target);
    this.notify('gone', known.target, 0);
  }

  private notify(
    kind: TargetChange['kind'],
    target: RegisteredTarget,
    storeRevision: number,
  ): void {
    const { id: name, service, availabilityZone } = target;
    this.opts.onChange({ kind, name, service, availabilityZone, storeRevision });
  }
}
