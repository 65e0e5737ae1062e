import type { FakeStore } from '@galenatiller/fakes';
import {
  killNode,
  type SimulatedEntry,
  type SimulatedGate,
  stopEntry,
  stopGate,
} from './simulatedNodes.js';
import type { ScheduledFault, FaultKind } from './simulationTypes.js';
import type { SimulatedTargets } from './simulatedTargets.js';

/** What a fault affects, and the functions that inject and end it. */
export interface FaultContext {
  readonly entry: SimulatedEntry;
  readonly gate: SimulatedGate;
  readonly target: SimulatedTargets;
  readonly store: FakeStore;
  readonly restartGate: () => void;
  readonly restartEntry: () => void;
  readonly takeZoneOut: () => void;
  /** Calls a function when the duration of the fault is over. */
  readonly afterFault: (notify: () => void) => void;
  readonly durationMs: number;
}

const FAULT_INJECTORS: Readonly<Record<FaultKind, (context: FaultContext) => void>> = {
  'kill-gate': ({ gate, afterFault, restartGate }) => {
    killNode(gate);
    afterFault(restartGate);
  },
  'kill-entry': ({ entry, afterFault, restartEntry }) => {
    killNode(entry);
    afterFault(restartEntry);
  },
  'stop-gate': ({ gate, afterFault, restartGate }) => {
    stopGate(gate, () => afterFault(restartGate));
  },
  'stop-entry': ({ entry, afterFault, restartEntry }) => {
    stopEntry(entry, () => afterFault(restartEntry));
  },
  'pause-gate': ({ gate, afterFault }) => {
    gate.clock.pause();
    afterFault(() => gate.clock.resume());
  },
  'pause-entry': ({ entry, afterFault }) => {
    entry.clock.pause();
    afterFault(() => entry.clock.resume());
  },
  'cut-link': ({ entry, gate }) => {
    [...entry.links].filter((link) => gate.links.has(link)).forEach((link) => link.cut());
  },
  'target-down': ({ target, durationMs }) => {
    target.crashFor(durationMs);
  },
  'target-slow': ({ target, afterFault }) => {
    target.setFaults({ slowFactor: 6 });
    afterFault(() => target.setFaults({ slowFactor: 1 }));
  },
  'target-stuck': ({ target, afterFault }) => {
    target.setFaults({ slowFactor: 100 });
    afterFault(() => target.setFaults({ slowFactor: 1 }));
  },
  'lose-answers': ({ target }) => {
    target.setFaults({ loseAnswers: 2 });
  },
  'break-streams': ({ target }) => {
    target.setFaults({ breakStreams: 2 });
  },
  'store-outage': ({ store, afterFault }) => {
    store.setFaults({ outage: true });
    afterFault(() => store.setFaults({ outage: false }));
  },
  'store-slow': ({ store, afterFault }) => {
    store.setFaults({ slowMs: 300 });
    afterFault(() => store.setFaults({ slowMs: 0 }));
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

/** Injects a fault. */
export function injectFault(fault: ScheduledFault, context: FaultContext): void {
  FAULT_INJECTORS[fault.kind](context);
}
