import type { FakeStore } from '@galenatiller/fakes';
import { killNode, type SimulatedEntry, type SimulatedGate } from './simulatedNodes.js';
import type { ScheduledFault, FaultKind } from './simulationTypes.js';
import type { SimulatedTargets } from './simulatedTargets.js';

/** What a fault strikes, and how the fleet mends it. */
export interface FaultContext {
  readonly entry: SimulatedEntry;
  readonly gate: SimulatedGate;
  readonly target: SimulatedTargets;
  readonly store: FakeStore;
  readonly restartGate: () => void;
  readonly restartEntry: () => void;
  readonly takeZoneOut: () => void;
  /** Does something when the fault is over. */
  readonly afterFault: (notify: () => void) => void;
  readonly durationMs: number;
}

const FAULT_INJECTORS: Readonly<Record<FaultKind, (scene: FaultContext) => void>> = {
  'kill-gate': ({ gate, afterFault: later, restartGate }) => {
    killNode(gate);
    later(restartGate);
  },
  'kill-entry': ({ entry, afterFault: later, restartEntry }) => {
    killNode(entry);
    later(restartEntry);
  },
  'pause-gate': ({ gate, afterFault: later }) => {
    gate.clock.pause();
    later(() => gate.clock.resume());
  },
  'pause-entry': ({ entry, afterFault: later }) => {
    entry.clock.pause();
    later(() => entry.clock.resume());
  },
  'cut-link': ({ entry, gate }) => {
    [...entry.links].filter((link) => gate.links.has(link)).forEach((link) => link.cut());
  },
  'target-down': ({ target, durationMs: forMs }) => {
    target.crashFor(forMs);
  },
  'target-slow': ({ target, afterFault: later }) => {
    target.order({ slowFactor: 6 });
    later(() => target.order({ slowFactor: 1 }));
  },
  'lose-answers': ({ target }) => {
    target.order({ loseAnswers: 2 });
  },
  'break-streams': ({ target }) => {
    target.order({ breakStreams: 2 });
  },
  'store-outage': ({ store, afterFault: later }) => {
    store.order({ outage: true });
    later(() => store.order({ outage: false }));
  },
  'store-slow': ({ store, afterFault: later }) => {
    store.order({ slowMs: 300 });
    later(() => store.order({ slowMs: 0 }));
  },
  'store-lose-answers': ({ store }) => {
    store.order({ loseAnswers: 2 });
  },
  'store-lose-requests': ({ store }) => {
    store.order({ loseRequests: 2 });
  },
  'zone-out': ({ takeZoneOut }) => {
    takeZoneOut();
  },
};

/** Brings a fault about. */
export function injectFault(fault: ScheduledFault, scene: FaultContext): void {
  FAULT_INJECTORS[fault.kind](scene);
}
