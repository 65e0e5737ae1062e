import {
  checkHistory,
  type RequestRecord,
  type Verdict,
  type ZoneChange,
} from '@galenatiller/bench';
import { publishConfiguration } from '@galenatiller/configuration';
import { FakeStore } from '@galenatiller/fakes';
import { ManualClock, TimerService } from '@galenatiller/timer';

import { bringAbout } from './bringAbout.js';
import {
  createStoreClient,
  type FleetWorld,
  type SimulatedEntry,
  startEntry,
  startGate,
} from './fleetNodes.js';
import { fleetRules, ZONES } from './fleetRules.js';
import type { FleetFault, FleetMechanisms, FleetRequest, FleetSchedule } from './fleetTypes.js';
import { sendRequest } from './sendRequest.js';
import { TargetModel } from './targetModel.js';

const ENTRIES = 2;
const GATES = 3;
const START_WALL_MS = 1_000_000;
const SETTLE_MS = 2_000;
const END_MS = 30_000;

/** Entries, gates and targets in one process on the manual clock: the real tasks, no sockets. */
export class Fleet {
  private readonly clock = ManualClock.create({ startWallMs: START_WALL_MS });

  private readonly timer = TimerService.create({ clock: this.clock });

  private readonly store = FakeStore.create({ timer: this.timer });

  private readonly targets = ZONES.map((availabilityZone, index) =>
    TargetModel.create({ timer: this.timer, name: `host-${index}`, availabilityZone }),
  );

  private readonly entries: SimulatedEntry[] = [];

  private readonly world: FleetWorld;

  private readonly requests: RequestRecord[] = [];

  private readonly zoneOrders: ZoneChange[] = [];

  private readonly zonesOut = new Set<string>();

  private publishing = Promise.resolve();

  private revision = 0;

  private constructor(
    private readonly schedule: FleetSchedule,
    mechanisms: FleetMechanisms,
    random: () => number,
  ) {
    const { clock, store, targets } = this;
    this.world = { clock, store, mechanisms, random, targets, gates: [] };
  }

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
      this.startGate(index);
    }
    for (let index = 0; index < ENTRIES; index += 1) {
      this.startEntry(index);
    }
    await this.clock.advance({ byMs: SETTLE_MS });
    this.schedule.faults.forEach((fault) => {
      this.timer.after({ delayMs: fault.atMs, notify: () => this.strike(fault) });
    });
    this.schedule.requests.forEach((request, index) => {
      this.timer.after({ delayMs: request.atMs, notify: () => this.send(request, index) });
    });
    await this.clock.advance({ byMs: END_MS });
    return checkHistory({
      requests: this.requests,
      runs: this.targets.flatMap(({ runs }) => runs),
      effects: this.targets.flatMap(({ effects }) => effects),
      zoneChanges: this.zoneOrders,
      coldOverloads: 0,
    });
  }

  private strike(fault: FleetFault): void {
    const entryIndex = fault.index % ENTRIES;
    const gateIndex = fault.index % GATES;
    const entry = this.entries[entryIndex];
    const gate = this.world.gates[gateIndex];
    const target = this.targets[gateIndex];
    if (!entry || !gate || !target) {
      return;
    }
    bringAbout(fault, {
      entry,
      gate,
      target,
      store: this.store,
      restartGate: () => this.startGate(gateIndex),
      restartEntry: () => this.startEntry(entryIndex),
      takeZoneOut: () => this.orderZone(ZONES[gateIndex] ?? '', fault.forMs),
      later: (notify) => this.timer.after({ delayMs: fault.forMs, notify }),
      forMs: fault.forMs,
    });
  }

  private startGate(index: number): void {
    this.world.gates[index] = startGate(this.world, index);
  }

  private startEntry(index: number): void {
    this.entries[index] = startEntry(this.world, index);
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
        store: createStoreClient(this.world, this.timer),
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
}
