import {
  checkHistory,
  type History,
  type RequestRecord,
  type Verdict,
  type ZoneChange,
} from '@galenatiller/bench';
import { publishConfiguration } from '@galenatiller/configuration';
import { FakeStore } from '@galenatiller/fakes';
import { ManualClock, TimerService } from '@galenatiller/timer';

import { injectFault } from './injectFault.js';
import {
  createStoreClient,
  type SimulationContext,
  type SimulatedEntry,
  startEntry,
  startGate,
} from './simulatedNodes.js';
import { createRules, AVAILABILITY_ZONES } from './createRules.js';
import type {
  ScheduledFault,
  SimulationMechanisms,
  ScheduledRequest,
  SimulationSchedule,
} from './simulationTypes.js';
import { sendRequest } from './sendRequest.js';
import { SimulatedTargets } from './simulatedTargets.js';

const ENTRY_COUNT = 2;
const GATE_COUNT = 3;
const START_WALL_MS = 1_000_000;
const SETTLE_MS = 2_000;
const RUN_MS = 30_000;

/** The history of a run, and what the checker says of it. */
export interface SimulationResult {
  readonly history: History;
  readonly verdict: Verdict;
}

/** Runs the real tasks of entries and gates in one process, on a manual clock and without sockets. */
export class Simulation {
  private readonly clock = ManualClock.create({ startWallMs: START_WALL_MS });

  private readonly timer = TimerService.create({ clock: this.clock });

  private readonly store = FakeStore.create({ timer: this.timer });

  private readonly targets = AVAILABILITY_ZONES.map((availabilityZone, index) =>
    SimulatedTargets.create({ timer: this.timer, name: `host-${index}`, availabilityZone }),
  );

  private readonly entries: SimulatedEntry[] = [];

  private readonly context: SimulationContext;

  private readonly requests: RequestRecord[] = [];

  private readonly zoneChanges: ZoneChange[] = [];

  private readonly zonesOut = new Set<string>();

  private publishing = Promise.resolve();

  private revision = 0;

  private constructor(
    private readonly schedule: SimulationSchedule,
    mechanisms: SimulationMechanisms,
    random: () => number,
  ) {
    const { clock, store, targets } = this;
    this.context = { clock, store, mechanisms, random, targets, gates: [] };
  }

  /** Runs a schedule to its end and checks the history. */
  static async run(opts: {
    readonly schedule: SimulationSchedule;
    readonly mechanisms: SimulationMechanisms;
    readonly random: () => number;
  }): Promise<SimulationResult> {
    const simulation = new Simulation(opts.schedule, opts.mechanisms, opts.random);
    return simulation.run();
  }

  private async run(): Promise<SimulationResult> {
    this.publish(() => {});
    for (let index = 0; index < GATE_COUNT; index += 1) {
      this.startGate(index);
    }
    for (let index = 0; index < ENTRY_COUNT; index += 1) {
      this.startEntry(index);
    }
    await this.clock.advance({ byMs: SETTLE_MS });
    this.schedule.faults.forEach((fault) => {
      this.timer.after({ delayMs: fault.atMs, notify: () => this.injectFault(fault) });
    });
    this.schedule.requests.forEach((request, index) => {
      this.timer.after({ delayMs: request.atMs, notify: () => this.send(request, index) });
    });
    await this.clock.advance({ byMs: RUN_MS });
    const history: History = {
      requests: this.requests,
      runs: this.targets.flatMap(({ runs }) => runs),
      effects: this.targets.flatMap(({ effects }) => effects),
      zoneChanges: this.zoneChanges,
      coldOverloads: 0,
    };
    return { history, verdict: checkHistory(history) };
  }

  private injectFault(fault: ScheduledFault): void {
    const entryIndex = fault.index % ENTRY_COUNT;
    const gateIndex = fault.index % GATE_COUNT;
    const entry = this.entries[entryIndex];
    const gate = this.context.gates[gateIndex];
    const target = this.targets[gateIndex];
    if (!entry || !gate || !target) {
      return;
    }
    injectFault(fault, {
      entry,
      gate,
      target,
      store: this.store,
      restartGate: () => this.startGate(gateIndex),
      restartEntry: () => this.startEntry(entryIndex),
      takeZoneOut: () => this.takeZoneOut(AVAILABILITY_ZONES[gateIndex] ?? '', fault.durationMs),
      afterFault: (notify) => this.timer.after({ delayMs: fault.durationMs, notify }),
      durationMs: fault.durationMs,
    });
  }

  private startGate(index: number): void {
    this.context.gates[index] = startGate(this.context, index);
  }

  private startEntry(index: number): void {
    this.entries[index] = startEntry(this.context, index);
  }

  private send(request: ScheduledRequest, index: number): void {
    sendRequest({
      request,
      index,
      timer: this.timer,
      findEntry: (attempt) => this.entries[(request.entryIndex + attempt) % ENTRY_COUNT],
      onRecord: (record) => {
        this.requests[index] = record;
      },
    }).catch((error: unknown) => {
      throw error;
    });
  }

  /** Takes a zone out for a time; the change counts from when it was accepted. */
  private takeZoneOut(zone: string, durationMs: number): void {
    this.publish(
      () => this.zonesOut.add(zone),
      () => this.recordZoneChange(zone, 'out'),
    );
    this.timer.after({
      delayMs: durationMs,
      notify: () => {
        this.recordZoneChange(zone, 'in');
        this.publish(() => this.zonesOut.delete(zone));
      },
    });
  }

  private recordZoneChange(availabilityZone: string, state: 'in' | 'out'): void {
    this.zoneChanges.push({ availabilityZone, state, atWallMs: this.timer.wallMs() });
  }

  /** Publishes changes one after another, as a single operator does. */
  private publish(change: () => void, onAccepted: () => void = () => {}): void {
    this.publishing = this.publishing.then(async () => {
      change();
      const published = await publishConfiguration({
        store: createStoreClient(this.context, this.timer),
        author: 'operator',
        baseRevision: this.revision,
        rules: createRules([...this.zonesOut]),
        timer: this.timer,
      });
      if (published.isOk) {
        this.revision = published.value.revision;
        onAccepted();
      }
    });
  }
}
