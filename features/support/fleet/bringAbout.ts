import type { FakeStore } from '@galenatiller/fakes';
import { kill, type SimulatedEntry, type SimulatedGate } from './fleetNodes.js';
import type { FleetFault, FleetFaultKind } from './fleetTypes.js';
import type { TargetModel } from './targetModel.js';

/** What a fault strikes, and how the fleet mends it. */
export interface FaultScene {
  readonly entry: SimulatedEntry;
  readonly gate: SimulatedGate;
  readonly target: TargetModel;
  readonly store: FakeStore;
  readonly restartGate: () => void;
  readonly restartEntry: () => void;
  readonly takeZoneOut: () => void;
  /** Does something when the fault is over. */
  readonly later: (notify: () => void) => void;
  readonly forMs: number;
}

const FAULTS: Readonly<Record<FleetFaultKind, (scene: FaultScene) => void>> = {
  'kill-gate': ({ gate, later, restartGate }) => {
    kill(gate);
    later(restartGate);
  },
  'kill-entry': ({ entry, later, restartEntry }) => {
    kill(entry);
    later(restartEntry);
  },
  'pause-gate': ({ gate, later }) => {
    gate.clock.pause();
    later(() => gate.clock.resume());
  },
  'pause-entry': ({ entry, later }) => {
    entry.clock.pause();
    later(() => entry.clock.resume());
  },
  'cut-link': ({ entry, gate }) => {
    [...entry.links].filter((link) => gate.links.has(link)).forEach((link) => link.cut());
  },
  'target-down': ({ target, forMs }) => {
    target.goDown(forMs);
  },
  'target-slow': ({ target, later }) => {
    target.order({ slowFactor: 6 });
    later(() => target.order({ slowFactor: 1 }));
  },
  'lose-answers': ({ target }) => {
    target.order({ loseAnswers: 2 });
  },
  'break-streams': ({ target }) => {
    target.order({ breakStreams: 2 });
  },
  'store-outage': ({ store, later }) => {
    store.setFaults({ outage: true });
    later(() => store.setFaults({ outage: false }));
  },
  'store-slow': ({ store, later }) => {
    store.setFaults({ slowMs: 300 });
    later(() => store.setFaults({ slowMs: 0 }));
  },
  'store-lose-answers': ({ store }) => {
    store.setFaults({ loseAnswers: 2 });
  },
  'store-lose-requests': ({ store }) => {
    store.setFaults({ loseRequests: 2 });
  },
  'zone-out': ({ takeZoneOut }) => {
    takeZoneOut();
  },
};

/** Brings a fault about. */
export function bringAbout(fault: FleetFault, scene: FaultScene): void {
  FAULTS[fault.kind](scene);
}
