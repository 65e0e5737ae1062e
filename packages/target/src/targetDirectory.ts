import type { TimerService } from '@galenatiller/timer';
import type { RegisteredTarget } from '@galenatiller/types';

/** A change of what the node believes of a target. */
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
  readonly onChange: (belief: TargetChange) => void;
}

/** What the store says of one target. */
export interface TargetEntry {
  readonly id: string;
  /** Undefined for an entry that names no usable target. */
  readonly target: RegisteredTarget | undefined;
  readonly storeRevision: number;
}

interface Held {
  readonly target: RegisteredTarget;
  /** Set while its entry is missing after an outage and may come back. */
  readonly lapsesAtMs: number | undefined;
}

/** Live targets write their entries again within two seconds of the store's return. */
const RELIST_GRACE_MS = 2_200;

/** The targets that are listed in the store, and the zones that operators have taken out. */
export class TargetDirectory {
  private held = new Map<string, Held>();

  private readonly zonesOut = new Set<string>();

  private graceUntilMs = 0;

  private constructor(private readonly opts: TargetDirectoryOptions) {}

  /** Makes an empty directory. */
  static create(opts: TargetDirectoryOptions): TargetDirectory {
    return new TargetDirectory(opts);
  }

  /** Number of targets, ready or not. */
  get size(): number {
    return this.held.size;
  }

  /** Targets of a service that may get new work now. */
  findUsable(service: string): readonly RegisteredTarget[] {
    return this.all().filter((target) => target.service === service && this.isUsable(target));
  }

  /** Every listed target. */
  all(): readonly RegisteredTarget[] {
    return [...this.held.values()].map(({ target }) => target);
  }

  /** Whether this start of the target may get new work now. */
  isUsable(target: RegisteredTarget): boolean {
    const held = this.held.get(target.id);
    return (
      held?.target.startedWallMs === target.startedWallMs &&
      held.target.address === target.address &&
      held.target.state === 'ready' &&
      !this.zonesOut.has(target.availabilityZone)
    );
  }

  /** Zone of most of the targets at the given addresses; empty when none is known. */
  findMajorityZone(addresses: readonly string[]): string {
    const zones = this.all()
      .filter(({ address }) => addresses.includes(address))
      .flatMap(({ address, availabilityZone }) =>
        addresses.filter((one) => one === address).map(() => availabilityZone),
      );
    const counts = new Map<string, number>();
    zones.forEach((zone) => counts.set(zone, (counts.get(zone) ?? 0) + 1));
    return [...counts].sort(([, left], [, right]) => right - left)[0]?.[0] ?? '';
  }

  /** Takes every entry in place of those before. */
  replaceAll(entries: readonly TargetEntry[]): void {
    const ids = new Set(entries.map(({ id }) => id));
    [...this.held.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => {
        this.remove({ id, storeRevision: 0 });
      });
    entries.forEach((entry) => this.put(entry));
  }

  /** Takes one entry as it was written. */
  put(entry: TargetEntry): void {
    const { id, target, storeRevision } = entry;
    const before = this.held.get(id);
    if (!target) {
      this.remove(entry);
      return;
    }
    this.held.set(id, { target, lapsesAtMs: undefined });
    const kind = kindOfChange(before?.target, target);
    if (kind) {
      this.tell(kind, target, storeRevision);
    }
  }

  /** Takes the end of an entry; soon after an outage the target is kept until it had time to return. */
  remove(opts: { readonly id: string; readonly storeRevision: number }): void {
    const { id, storeRevision } = opts;
    const before = this.held.get(id);
    if (!before || before.lapsesAtMs !== undefined) {
      return;
    }
    const nowMs = this.opts.timer.nowMs();
    if (nowMs < this.graceUntilMs && before.target.state === 'ready') {
      this.held.set(id, { ...before, lapsesAtMs: this.graceUntilMs });
      this.opts.timer.after({ delayMs: this.graceUntilMs - nowMs, notify: () => this.lapse(id) });
      this.tell('lapsed', before.target, storeRevision);
      return;
    }
    this.held.delete(id);
    this.tell('gone', before.target, storeRevision);
  }

  /** Notes that the store answers again after an outage. */
  onStoreReconnected(): void {
    this.graceUntilMs = this.opts.timer.nowMs() + RELIST_GRACE_MS;
  }

  /** Takes whether operators want a zone to get no work. */
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

  private lapse(id: string): void {
    const held = this.held.get(id);
    if (held?.lapsesAtMs === undefined) {
      return;
    }
    this.held.delete(id);
    this.tell('gone', held.target, 0);
  }

  private tell(kind: TargetChange['kind'], target: RegisteredTarget, storeRevision: number): void {
    const { id: name, service, availabilityZone } = target;
    this.opts.onChange({ kind, name, service, availabilityZone, storeRevision });
  }
}

function kindOfChange(
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
