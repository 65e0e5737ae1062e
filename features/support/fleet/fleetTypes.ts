import type { EntryPolicy } from '@galenatiller/entry';
import type { GatePolicy, RunRecordRepository } from '@galenatiller/gate';
import type { StoreClient } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';

/** A fault that a schedule brings about. */
export type FleetFaultKind =
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
export interface FleetFault {
  readonly kind: FleetFaultKind;
  readonly index: number;
  readonly atMs: number;
  readonly forMs: number;
}

/** One request of a schedule; requests with one `key` send the same idempotency key. */
export interface FleetRequest {
  readonly route: 'draft' | 'reserve' | 'look-up';
  readonly entryIndex: number;
  readonly key: number;
  readonly atMs: number;
}

/** A run of the fleet, decided beforehand. */
export interface FleetSchedule {
  readonly seed: number;
  readonly requests: readonly FleetRequest[];
  readonly faults: readonly FleetFault[];
}

/** Options of the run-record function of a mechanism set. */
export interface CreateRunRecordsOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  readonly nodeName: string;
  readonly incarnation: string;
}

/** The mechanisms that a run uses; tests swap one for a plain one to see the checker refute it. */
export interface FleetMechanisms {
  readonly policy: EntryPolicy;
  readonly gatePolicy: GatePolicy;
  readonly createRunRecords: (opts: CreateRunRecordsOptions) => RunRecordRepository;
}
