import type { TimerService } from '@galenatiller/timer';
import type { RegisteredTarget } from '@galenatiller/types';

/**
 * A change in this node's view of a target or a zone. `lapsed`: the entry of the target is missing
 * after a store outage, and the target is kept for now.
 */
export interface TargetChange {
  readonly kind: 'listed' | 'draining' | 'restarted' | 'gone' | 'lapsed' | 'zone-out' | 'zone-in';
  /** Id of the target, or name of the zone. */
  readonly name: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly storeRevision: number;
}

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

interface DirectoryEntry {
  readonly target: RegisteredTarget;
  /** Set while the entry is missing after a store outage and may still return. */
  readonly expiresAtMs: number | undefined;
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
  private entries = new Map<string, DirectoryEntry>();

  private readonly zonesOut = new Set<string>();

  private graceUntilMs = 0;

  private constructor(private readonly opts: TargetDirectoryOptions) {}

  /** Creates an empty directory. */
  static create(opts: TargetDirectoryOptions): TargetDirectory {
    return new TargetDirectory(opts);
  }

  /** Number of targets, whether ready or not. */
  get size(): number {
    return this.entries.size;
  }

  /** Targets of a service that may get new work. */
  findUsable(service: string): readonly RegisteredTarget[] {
    return this.all().filter((target) => target.service === service && this.isUsable(target));
  }

  /** All registered targets. */
  all(): readonly RegisteredTarget[] {
    return [...this.entries.values()].map(({ target }) => target);
  }

  /** Whether the target may get new work; false when it was restarted or moved since. */
  isUsable(target: RegisteredTarget): boolean {
    const known = this.entries.get(target.id);
    return (
      known?.target.startedWallMs === target.startedWallMs &&
      known.target.address === target.address &&
      known.target.state === 'ready' &&
      !this.zonesOut.has(target.availabilityZone)
    );
  }

  /** Zone that most of the given addresses belong to; empty when no target is known at them. */
  findMajorityZone(addresses: readonly string[]): string {
    const zones = this.all()
      .filter(({ address }) => addresses.includes(address))
      .flatMap(({ address, availabilityZone }) =>
        addresses.filter((givenAddress) => givenAddress === address).map(() => availabilityZone),
      );
    const counts = new Map<string, number>();
    zones.forEach((zone) => counts.set(zone, (counts.get(zone) ?? 0) + 1));
    return [...counts].sort(([, left], [, right]) => right - left)[0]?.[0] ?? '';
  }

  /** Replaces all entries. */
  replaceAll(entries: readonly TargetEntry[]): void {
    const ids = new Set(entries.map(({ id }) => id));
    [...this.entries.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => {
        this.remove({ id, storeRevision: 0 });
      });
    entries.forEach((entry) => this.put(entry));
  }

  /** Applies an entry that was written. */
  put(entry: TargetEntry): void {
    const { id, target, storeRevision } = entry;
    const before = this.entries.get(id);
    if (!target) {
      this.remove(entry);
      return;
    }
    this.entries.set(id, { target, expiresAtMs: undefined });
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
    const before = this.entries.get(id);
    if (!before || before.expiresAtMs !== undefined) {
      return;
    }
    const nowMs = this.opts.timer.nowMs();
    if (nowMs < this.graceUntilMs && before.target.state === 'ready') {
      this.entries.set(id, { ...before, expiresAtMs: this.graceUntilMs });
      this.opts.timer.after({ delayMs: this.graceUntilMs - nowMs, notify: () => this.expire(id) });
      this.notify('lapsed', before.target, storeRevision);
      return;
    }
    this.entries.delete(id);
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

  private expire(id: string): void {
    const known = this.entries.get(id);
    if (known?.expiresAtMs === undefined) {
      return;
    }
    this.entries.delete(id);
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

function findChangeKind(
  before: RegisteredTarget | undefined,
  after: RegisteredTarget,
): TargetChange['kind'] | undefined {
  if (after.state === 'draining') {
    return before?.state === 'draining' ? undefined : 'draining';
  }
  if (!before) {
    return 'listed';
  }
  return before.startedWallMs === after.startedWallMs ? undefined : 'restarted';
}
