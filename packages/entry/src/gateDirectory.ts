import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type { Host } from '@galenatiller/types';
import { Maybe } from 'true-myth';

import { chooseLinks } from './chooseLinks.js';
import { GateLink } from './gateLink.js';
import type { TargetView } from './policy.js';

/** Options of {@link GateDirectory.create}. */
export interface GateDirectoryOptions {
  readonly timer: TimerService;
  readonly tasks: TaskGroup;
  readonly entryName: string;
  /** Maximum number of gates per target group to keep links to. */
  readonly linksPerGroup: number;
  /** Keeps a link to a gate open until the signal aborts. Runs as one task per gate. */
  readonly maintainLink: (gate: GateLink, signal: AbortSignal) => Promise<void>;
}

interface KnownGate {
  readonly gate: GateLink;
  readonly stop: AbortController;
  /** False for a gate that is leaving or that this entry no longer selects. */
  isAcceptingWork: boolean;
}

/** The gates known to an entry and the targets behind them. */
export class GateDirectory {
  private readonly knownGates = new Map<string, KnownGate>();

  /** Target groups behind each gate, as last reported. */
  private readonly reportedGroups = new Map<string, readonly string[]>();

  private constructor(private readonly opts: GateDirectoryOptions) {}

  /** Creates an empty directory. */
  static create(opts: GateDirectoryOptions): GateDirectory {
    return new GateDirectory(opts);
  }

  /** Links to all known gates, open or being opened. */
  get links(): readonly GateLink[] {
    return [...this.knownGates.values()].map(({ gate }) => gate);
  }

  /** Applies a new host list: opens links to newly selected gates and drops unneeded ones. */
  update(hosts: readonly Host[]): void {
    const listed = new Map(
      hosts.filter((host) => host.role === 'gate').map((host) => [host.name, host]),
    );
    this.recordGroups();
    const wanted = this.chooseWantedGates([...listed.values()]);
    listed.forEach((host, name) => {
      if (wanted.has(name) || this.knownGates.has(name)) {
        this.add(host, wanted.has(name));
      }
    });
    [...this.knownGates.entries()]
      .filter(([name, { gate }]) => isRemovable(gate, listed.has(name), wanted.has(name)))
      .forEach(([name]) => {
        this.remove(name);
      });
  }

  /** Lists the targets of one group that are reachable over open links. */
  listTargets(group: string): readonly TargetView[] {
    return [...this.knownGates.values()]
      .filter(({ gate }) => gate.isOpen)
      .flatMap((known) => listTargetViews(known, group));
  }

  /** Finds the link to a gate. */
  findLink(gateName: string): Maybe<GateLink> {
    return Maybe.of(this.knownGates.get(gateName)?.gate);
  }

  /** Closes all links. */
  closeLinks(): void {
    [...this.knownGates.keys()].forEach((name) => {
      this.remove(name);
    });
  }

  private recordGroups(): void {
    this.knownGates.forEach(({ gate }, name) => {
      if (gate.targetReports.length > 0) {
        this.reportedGroups.set(name, [
          ...new Set(gate.targetReports.map((report) => report.group)),
        ]);
      }
    });
  }

  private chooseWantedGates(gates: readonly Host[]): ReadonlySet<string> {
    const { entryName, linksPerGroup } = this.opts;
    const live = gates.filter((host) => host.state === 'live');
    const candidates = live.map(({ name }) => ({
      gateName: name,
      targetGroups: this.reportedGroups.get(name) ?? [],
    }));
    return chooseLinks({ entryName, linksPerGroup, gates: candidates });
  }

  private add(host: Host, isWanted: boolean): void {
    const known = this.knownGates.get(host.name);
    if (known && hasSameAddress(known.gate.host, host)) {
      known.isAcceptingWork = isWanted;
      return;
    }
    this.remove(host.name);
    const gate = GateLink.create({ host, timer: this.opts.timer });
    const stop = new AbortController();
    this.knownGates.set(host.name, { gate, stop, isAcceptingWork: isWanted });
    this.opts.tasks.start(() => this.opts.maintainLink(gate, stop.signal));
  }

  private remove(name: string): void {
    this.knownGates.get(name)?.stop.abort();
    this.knownGates.delete(name);
  }
}

function listTargetViews(known: KnownGate, group: string): readonly TargetView[] {
  const { gate } = known;
  return gate.targetReports
    .filter((report) => report.group === group)
    .map((report) => ({
      report,
      gateName: gate.host.name,
      availabilityZone: gate.host.availabilityZone,
      reportAgeMs: gate.reportAgeMs,
      ownInFlight: gate.countOwnInFlight(report.name),
      sentSinceReport: gate.countSentSinceReport(report.name),
      isAcceptingWork: !gate.isLeaving && known.isAcceptingWork,
    }));
}

/**
 * A listed gate is kept while it is selected or has attempts in flight; an unlisted one while its
 * link is open.
 */
function isRemovable(gate: GateLink, isListed: boolean, isWanted: boolean): boolean {
  return isListed ? !isWanted && gate.isIdle : !gate.isOpen;
}

function hasSameAddress(left: Host, right: Host): boolean {
  return left.address === right.address && left.port === right.port;
}
