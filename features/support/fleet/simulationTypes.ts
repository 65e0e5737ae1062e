import type { EntryPolicy } from '@galenatiller/entry';
import type { GatePolicy, RunRecordRepository } from '@galenatiller/gate';
import type { StoreClient } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';

/** A fault that a schedule brings about. */
export type FaultKind =
  | 'kill-gate'
  | 'pause-gate'
  | 'kill-entry'
  | 'pause-entry'
  | 'cut-link'
  | 'target-down'
  | 'target-slow'
  | 'lose-answers'
  | 'break-streams'
  | 'store-outage'
  | 'store-slow'
  | 'store-lose-answers'
  | 'store-lose-requests'
  | 'zone-out';

/** One fault of a schedule; `index` chooses the node, target or zone. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  readonly index: number;
  readonly atMs: number;
  readonly durationMs: number;
}

/** One request of a schedule; requests with one `key` send the same idempotency key. */
export interface ScheduledRequest {
  readonly route: 'draft' | 'reserve' | 'look-up';
  readonly entryIndex: number;
  readonly key: number;
  readonly atMs: number;
}

/** A run of the fleet, decided beforehand. */
export interface SimulationSchedule {
  readonly seed: number;
  readonly requests: readonly ScheduledRequest[];
  readonly faults: readonly ScheduledFault[];
}

/** Options of the run-record function of a mechanism set. */
export interface CreateRunRecordsOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  readonly nodeName: string;
  readonly incarnation: string;
}

/** The mechanisms that a run uses; tests swap one for a plain one to see the checker refute it. */
export interface SimulationMechanisms {
  readonly policy: EntryPolicy;
  readonly gatePolicy: GatePolicy;
  readonly createRunRecords: (opts: CreateRunRecordsOptions) => RunRecordRepository;
}
