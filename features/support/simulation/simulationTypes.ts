import type { EntryPolicy } from '@galenatiller/entry';
import type { GatePolicy, RunRecordRepository } from '@galenatiller/gate';
import type { StoreClient } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';

/** A kind of fault that a schedule can inject. */
export type FaultKind =
  | 'kill-gate'
  | 'pause-gate'
  | 'kill-entry'
  | 'pause-entry'
  | 'stop-gate'
  | 'stop-entry'
  | 'cut-link'
  | 'target-down'
  | 'target-slow'
  | 'target-stuck'
  | 'lose-answers'
  | 'break-streams'
  | 'store-outage'
  | 'store-slow'
  | 'store-lose-answers'
  | 'store-lose-requests'
  | 'zone-out';

/** One fault of a schedule; `index` selects the node, target or zone. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  readonly index: number;
  readonly atMs: number;
  readonly durationMs: number;
}

/** One request of a schedule; requests with the same `key` send the same idempotency key. */
export interface ScheduledRequest {
  readonly route: 'draft' | 'reserve' | 'look-up';
  readonly entryIndex: number;
  readonly key: number;
  readonly atMs: number;
  /** Prompt of a draft; the default is one of its own. */
  readonly prompt?: string;
}

/** Seed, requests and faults of one run of the simulation. */
export interface SimulationSchedule {
  readonly seed: number;
  readonly requests: readonly ScheduledRequest[];
  readonly faults: readonly ScheduledFault[];
}

/** Options of {@link SimulationMechanisms.createRunRecords}. */
export interface CreateRunRecordsOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  readonly nodeName: string;
  readonly incarnation: string;
}

/** Mechanisms of a run; tests replace one by a weaker one, to see that the checker finds violations. */
export interface SimulationMechanisms {
  readonly policy: EntryPolicy;
  readonly gatePolicy: GatePolicy;
  readonly createRunRecords: (opts: CreateRunRecordsOptions) => RunRecordRepository;
}
