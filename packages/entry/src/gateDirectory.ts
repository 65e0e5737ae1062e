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
  /** Most gates of one target group that links are kept to. */
  readonly linksPerGroup: number;
  /** Keeps the link to a gate until the signal aborts; one task for each gate. */
  readonly maintainLink: (gate: GateLink, signal: AbortSignal) => Promise<void>;
}

interface KnownGate {
  readonly gate: GateLink;
  readonly stop: AbortController;
  /** False for a gate that is leaving or no longer of this entry's share. */
  takesWork: boolean;
}

/** The gates that an entry knows, and the targets behind them. */
export class GateDirectory {
  private readonly known = new Map<string, KnownGate>();

  /** Target groups behind each gate, as last reported. */
  private readonly groups = new Map<string, readonly string[]>();

  private constructor(private readonly opts: GateDirectoryOptions) {}

  /** Makes an empty directory. */
  static create(opts: GateDirectoryOptions): GateDirectory {
    return new GateDirectory(opts);
  }

  /** Every gate with a link or a try at one. */
  get links(): readonly GateLink[] {
    return [...this.known.values()].map(({ gate }) => gate);
  }

  /** Takes a new host list: follows the gates of this entry's share and lets go of the others. */
  update(hosts: readonly Host[]): void {
    const listed = new Map(
      hosts.filter((host) => host.role === 'gate').map((host) => [host.name, host]),
    );
    this.learnGroups();
    const wanted = this.chooseWanted([...listed.values()]);
    listed.forEach((host, name) => {
      if (wanted.has(name) || this.known.has(name)) {
        this.add(host, wanted.has(name));
      }
    });
    [...this.known.entries()]
      .filter(([name, { gate }]) => isUnneeded(gate, listed.has(name), wanted.has(name)))
      .forEach(([name]) => {
        this.remove(name);
      });
  }

  /** Targets of one group behind open links. */
  listTargets(group: string): readonly TargetView[] {
    return [...this.known.values()]
      .filter(({ gate }) => gate.isOpen)
      .flatMap((known) => viewTargets(known, group));
  }

  /** The link to a gate. */
  findLink(gateName: string): Maybe<GateLink> {
    return Maybe.of(this.known.get(gateName)?.gate);
  }

  /** Ends every link. */
  stop(): void {
    [...this.known.keys()].forEach((name) => {
      this.remove(name);
    });
  }

  private learnGroups(): void {
    this.known.forEach(({ gate }, name) => {
      if (gate.targetReports.length > 0) {
        this.groups.set(name, [...new Set(gate.targetReports.map((report) => report.group))]);
      }
    });
  }

  private chooseWanted(links: readonly Host[]): ReadonlySet<string> {
    const { entryName, linksPerGroup } = this.opts;
    const live = links.filter((host) => host.state === 'live');
    const candidates = live.map(({ name }) => ({
      gateName: name,
      groups: this.groups.get(name) ?? [],
    }));
    return chooseLinks({ entryName, linksPerGroup, gates: candidates });
  }

  private add(host: Host, isWanted: boolean): void {
    const known = this.known.get(host.name);
    if (known && isSamePlace(known.gate.host, host)) {
      known.takesWork = isWanted;
      return;
    }
    this.remove(host.name);
    const gate = GateLink.create({ host, timer: this.opts.timer });
    const stop = new AbortController();
    this.known.set(host.name, { gate, stop, takesWork: isWanted });
    this.opts.tasks.start(() => this.opts.maintainLink(gate, stop.signal));
  }

  private remove(name: string): void {
    this.known.get(name)?.stop.abort();
    this.known.delete(name);
  }
}

function viewTargets(known: KnownGate, group: string): readonly TargetView[] {
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
      takesWork: !gate.isLeaving && known.takesWork,
    }));
}

/** A link that is open or has work is kept, whatever the list says. */
function isUnneeded(gate: GateLink, isListed: boolean, isWanted: boolean): boolean {
  return isListed ? !isWanted && gate.isIdle : !gate.isOpen;
}

function isSamePlace(left: Host, right: Host): boolean {
  return left.address === right.address && left.port === right.port;
}
