import {
  checkHistory,
  type RequestRecord,
  type Verdict,
  type ZoneOrder,
} from '@galenatiller/bench';
import {
  followConfiguration,
  HeldConfiguration,
  publishConfiguration,
} from '@galenatiller/configuration';
import { createEntry, type Entry } from '@galenatiller/entry';
import { GalenatillerError } from '@galenatiller/error';
import { FakeStore } from '@galenatiller/fakes';
import { createGate, type Gate } from '@galenatiller/gate';
import type { NodeIdentity, ProvedLink } from '@galenatiller/node';
import { CallBudget, StoreClient, type StoreTransport } from '@galenatiller/store';
import { whenAborted } from '@galenatiller/tasks';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { Host, NodeRole, Rule } from '@galenatiller/types';
import { Result } from 'true-myth';

import { fleetRules, ZONES } from './fleetRules.js';
import type { FleetFault, FleetMechanisms, FleetRequest, FleetSchedule } from './fleetTypes.js';
import { createMemoryLink, type MemoryLink } from './memoryLink.js';
import { NodeClock } from './nodeClock.js';
import { sendRequest } from './sendRequest.js';
import { TargetModel } from './targetModel.js';

interface SimulatedNode {
  readonly identity: NodeIdentity;
  readonly clock: NodeClock;
  readonly timer: TimerService;
  readonly links: Set<MemoryLink>;
}

type SimulatedEntry = SimulatedNode & { readonly entry: Entry };
type SimulatedGate = SimulatedNode & { readonly gate: Gate };

const ENTRIES = 2;
const GATES = 3;
const START_WALL_MS = 1_000_000;
const SETTLE_MS = 2_000;
const END_MS = 30_000;
const FRAME_DELAY_MS = 3;

/** Entries, gates and targets in one process on the manual clock: the real tasks, no sockets. */
export class Fleet {
  private readonly clock = ManualClock.create({ startWallMs: START_WALL_MS });

  private readonly timer = TimerService.create({ clock: this.clock });

  private readonly store = FakeStore.create({ timer: this.timer });

  private readonly targets = ZONES.map((availabilityZone, index) =>
    TargetModel.create({ timer: this.timer, name: `host-${index}`, availabilityZone }),
  );

  private readonly entries: SimulatedEntry[] = [];

  private readonly gates: SimulatedGate[] = [];

  private readonly requests: RequestRecord[] = [];

  private readonly zoneOrders: ZoneOrder[] = [];

  private readonly zonesOut = new Set<string>();

  private publishing = Promise.resolve();

  private revision = 0;

  private incarnations = 0;

  private constructor(
    private readonly schedule: FleetSchedule,
    private readonly mechanisms: FleetMechanisms,
    private readonly random: () => number,
  ) {}

  /** Runs a schedule to its end and checks its history. */
  static async run(opts: {
    readonly schedule: FleetSchedule;
    readonly mechanisms: FleetMechanisms;
    readonly random: () => number;
  }): Promise<Verdict> {
    const fleet = new Fleet(opts.schedule, opts.mechanisms, opts.random);
    return fleet.run();
  }

  private async run(): Promise<Verdict> {
    this.publish(() => {});
    for (let index = 0; index < GATES; index += 1) {
      this.gates[index] = this.startGate(index);
    }
    for (let index = 0; index < ENTRIES; index += 1) {
      this.entries[index] = this.startEntry(index);
    }
    await this.clock.advance({ byMs: SETTLE_MS });
    this.schedule.faults.forEach((fault) => {
      this.timer.after({ delayMs: fault.atMs, notify: () => this.bringAbout(fault) });
    });
    this.schedule.requests.forEach((request, index) => {
      this.timer.after({ delayMs: request.atMs, notify: () => this.send(request, index) });
    });
    await this.clock.advance({ byMs: END_MS });
    return checkHistory({
      requests: this.requests,
      runs: this.targets.flatMap(({ runs }) => runs),
      effects: this.targets.flatMap(({ effects }) => effects),
      zoneOrders: this.zoneOrders,
      coldOverloads: 0,
    });
  }

  private send(request: FleetRequest, index: number): void {
    sendRequest({
      request,
      index,
      timer: this.timer,
      findEntry: (tries) => this.entries[(request.entryIndex + tries) % ENTRIES],
      onRecord: (record) => {
        this.requests[index] = record;
      },
    }).catch((error: unknown) => {
      throw error;
    });
  }

  private bringAbout(fault: FleetFault): void {
    const entryIndex = fault.index % ENTRIES;
    const gateIndex = fault.index % GATES;
    const [entry, gate, target] = [
      this.entries[entryIndex],
      this.gates[gateIndex],
      this.targets[gateIndex],
    ];
    if (!entry || !gate || !target) {
      return;
    }
    const later = (notify: () => void): void => {
      this.timer.after({ delayMs: fault.forMs, notify });
    };
    switch (fault.kind) {
      case 'kill-gate':
        kill(gate);
        later(() => {
          this.gates[gateIndex] = this.startGate(gateIndex);
        });
        break;
      case 'kill-entry':
        kill(entry);
        later(() => {
          this.entries[entryIndex] = this.startEntry(entryIndex);
        });
        break;
      case 'pause-gate':
        gate.clock.pause();
        later(() => gate.clock.resume());
        break;
      case 'pause-entry':
        entry.clock.pause();
        later(() => entry.clock.resume());
        break;
      case 'cut-link':
        [...entry.links].filter((link) => gate.links.has(link)).forEach((link) => link.cut());
        break;
      case 'target-down':
        target.goDown(fault.forMs);
        break;
      case 'target-slow':
        target.order({ slowFactor: 6 });
        later(() => target.order({ slowFactor: 1 }));
        break;
      case 'lose-answers':
        target.order({ loseAnswers: 2 });
        break;
      case 'break-streams':
        target.order({ breakStreams: 2 });
        break;
      case 'store-outage':
        this.store.order({ outage: true });
        later(() => this.store.order({ outage: false }));
        break;
      case 'store-slow':
        this.store.order({ slowMs: 300 });
        later(() => this.store.order({ slowMs: 0 }));
        break;
      case 'store-lose-answers':
        this.store.order({ loseAnswers: 2 });
        break;
      case 'store-lose-requests':
        this.store.order({ loseRequests: 2 });
        break;
      case 'zone-out':
        this.orderZone(ZONES[gateIndex] ?? '', fault.forMs);
        break;
    }
  }

  /** An order counts from when it was accepted; the zone comes back later. */
  private orderZone(zone: string, forMs: number): void {
    this.publish(
      () => this.zonesOut.add(zone),
      () => this.recordZone(zone, 'out'),
    );
    this.timer.after({
      delayMs: forMs,
      notify: () => {
        this.recordZone(zone, 'in');
        this.publish(() => this.zonesOut.delete(zone));
      },
    });
  }

  private recordZone(availabilityZone: string, state: 'in' | 'out'): void {
    this.zoneOrders.push({ availabilityZone, state, atWallMs: this.timer.wallMs() });
  }

  /** Publishes one change after the other, as one operator does. */
  private publish(change: () => void, onAccepted: () => void = () => {}): void {
    this.publishing = this.publishing.then(async () => {
      change();
      const published = await publishConfiguration({
        store: this.createStore(this.timer),
        author: 'operator',
        baseRevision: this.revision,
        rules: fleetRules([...this.zonesOut]),
        timer: this.timer,
      });
      if (published.isOk) {
        this.revision = published.value.revision;
        onAccepted();
      }
    });
  }

  private createNode(role: NodeRole, index: number): SimulatedNode {
    this.incarnations += 1;
    const clock = NodeClock.create({ base: this.clock });
    const identity: NodeIdentity = {
      nodeName: `${role}-${index}`,
      role,
      availabilityZone: ZONES[index] ?? '',
      incarnation: String(this.incarnations),
    };
    return { identity, clock, timer: TimerService.create({ clock }), links: new Set() };
  }

  private createStore(timer: TimerService): StoreClient {
    // An answer reaches the process on its own clock.
    const transport: StoreTransport = async (call) => {
      const reply = await this.store.transport(call);
      await timer.sleep({ delayMs: 1 });
      return reply;
    };
    const budget = CallBudget.create({ timer, callsPerSecond: 1_000, burstCalls: 1_000 });
    return StoreClient.create({ transport, timer, budget, random: this.random });
  }

  private follow(timer: TimerService, store: StoreClient) {
    return (
      onConfiguration: Parameters<typeof HeldConfiguration.create>[0]['onConfiguration'],
      signal: AbortSignal,
    ) =>
      followConfiguration({
        store,
        timer,
        signal,
        held: HeldConfiguration.create({ onConfiguration }),
        readPeerOffers: () => Promise.resolve([]),
        random: this.random,
      });
  }

  private startGate(index: number): SimulatedGate {
    const node = this.createNode('gate', index);
    const { timer, identity } = node;
    const store = this.createStore(timer);
    const target = this.targets[index];
    const unused = () => Promise.reject(new Error('no pools here'));
    const settings = {
      version: 'v1',
      url: '',
      inFlightLimit: 4,
      coldInFlightLimit: 4,
      queueLimit: 8,
    };
    const gate = createGate({
      ...identity,
      targets: [
        { ...settings, name: `engine-${index}`, kind: 'engine', group: 'drafter' },
        { ...settings, name: `service-${index}`, kind: 'service', group: 'booking' },
      ],
      timer,
      runners: {
        engine: (opts) =>
          onClock(
            timer,
            target?.generate({
              ...opts,
              onPart: (part) => timer.after({ delayMs: 0, notify: () => opts.onPart(part) }),
            }),
          ),
        service: (opts) => onClock(timer, target?.call(opts)),
        pool: unused,
      },
      runRecords: this.mechanisms.createRunRecords({ store, ...identity, timer }),
      followConfiguration: this.follow(timer, store),
    });
    return { ...node, gate };
  }

  private startEntry(index: number): SimulatedEntry {
    const node = this.createNode('entry', index);
    const { timer, identity } = node;
    const store = this.createStore(timer);
    const hosts: readonly Host[] = ZONES.map((availabilityZone, gateIndex) => ({
      name: `gate-${gateIndex}`,
      address: '127.0.0.1',
      port: gateIndex + 1,
      operatorPort: 0,
      role: 'gate',
      availabilityZone,
      state: 'live',
    }));
    const entry = createEntry({
      identity,
      timer,
      policy: this.mechanisms.policy,
      random: this.random,
      openLink: (host) => this.openLink(node, host),
      followConfiguration: this.follow(timer, store),
      followHosts: (onHosts, signal) => {
        onHosts(hosts);
        return whenAborted(signal);
      },
    });
    return { ...node, entry };
  }

  private async openLink(
    near: SimulatedNode,
    host: Host,
  ): Promise<Result<ProvedLink, GalenatillerError>> {
    await near.timer.sleep({ delayMs: this.frameDelayMs() });
    const far = this.gates[host.port - 1];
    if (!far?.clock.isAlive) {
      return Result.err(GalenatillerError.create({ name: 'link-unopened', detail: host.name }));
    }
    const link = createMemoryLink({ near, far, delayMs: () => this.frameDelayMs() });
    near.links.add(link);
    far.links.add(link);
    far.timer.after({
      delayMs: 0,
      notify: () => {
        far.gate.serveLink(link.farSide).catch(() => link.cut());
      },
    });
    return Result.ok(link.nearSide);
  }

  private frameDelayMs(): number {
    return this.random() * FRAME_DELAY_MS;
  }
}

function kill(node: SimulatedNode): void {
  node.clock.kill();
  node.links.forEach((link) => link.cut());
}

/** A result reaches the process on its own clock. */
async function onClock<Value>(
  timer: TimerService,
  value: Promise<Value> | undefined,
): Promise<Value> {
  if (!value) {
    throw new Error('no target');
  }
  const result = await value;
  await timer.sleep({ delayMs: 0 });
  return result;
}
