import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type { Host } from '@galenatiller/types';
import { Maybe } from 'true-myth';

import { GateLink } from './gateLink.js';
import type { TargetView } from './policy.js';

/** Options of {@link GateDirectory.create}. */
export interface GateDirectoryOptions {
  readonly timer: TimerService;
  readonly tasks: TaskGroup;
  /** Keeps the link to a gate until the signal aborts; one task for each gate. */
  readonly follow: (gate: GateLink, signal: AbortSignal) => Promise<void>;
}

interface KnownGate {
  readonly gate: GateLink;
  readonly stop: AbortController;
  listedLeaving: boolean;
}

/** The gates that an entry knows, and the targets behind them. */
export class GateDirectory {
  private readonly known = new Map<string, KnownGate>();

  private constructor(private readonly opts: GateDirectoryOptions) {}

  /** Makes an empty directory. */
  static create(opts: GateDirectoryOptions): GateDirectory {
    return new GateDirectory(opts);
  }

  /** Every gate with a link or a try at one. */
  get gates(): readonly GateLink[] {
    return [...this.known.values()].map(({ gate }) => gate);
  }

  /** Takes a new host list: follows new gates and forgets those that are gone. */
  update(hosts: readonly Host[]): void {
    const listed = new Map(
      hosts.filter((host) => host.role === 'gate').map((host) => [host.name, host]),
    );
    listed.forEach((host) => {
      this.add(host);
    });
    [...this.known.entries()]
      .filter(([name, { gate }]) => !listed.has(name) && !gate.isOpen)
      .forEach(([name]) => {
        this.remove(name);
      });
  }

  /** Targets of one group behind open links. */
  targetsOf(group: string): readonly TargetView[] {
    return [...this.known.values()]
      .filter(({ gate }) => gate.isOpen)
      .flatMap((known) => viewTargets(known, group));
  }

  /** The link to a gate. */
  find(gateName: string): Maybe<GateLink> {
    return Maybe.of(this.known.get(gateName)?.gate);
  }

  /** Ends every link. */
  stop(): void {
    [...this.known.keys()].forEach((name) => {
      this.remove(name);
    });
  }

  private add(host: Host): void {
    const known = this.known.get(host.name);
    if (known && isSamePlace(known.gate.host, host)) {
      known.listedLeaving = host.state === 'leaving';
      return;
    }
    this.remove(host.name);
    const gate = GateLink.create({ host, timer: this.opts.timer });
    const stop = new AbortController();
    this.known.set(host.name, { gate, stop, listedLeaving: host.state === 'leaving' });
    this.opts.tasks.start(() => this.opts.follow(gate, stop.signal));
  }

  private remove(name: string): void {
    this.known.get(name)?.stop.abort();
    this.known.delete(name);
  }
}

function viewTargets(known: KnownGate, group: string): readonly TargetView[] {
  const { gate } = known;
  return gate.targets
    .filter((report) => report.group === group)
    .map((report) => ({
      report,
      gateName: gate.host.name,
      availabilityZone: gate.host.availabilityZone,
      reportAgeMs: gate.reportAgeMs,
      ownInFlight: gate.ownInFlight(report.name),
      sentSinceReport: gate.countSentSinceReport(report.name),
      takesWork: !gate.isLeaving && !known.listedLeaving,
    }));
}

function isSamePlace(left: Host, right: Host): boolean {
  return left.address === right.address && left.port === right.port;
}
