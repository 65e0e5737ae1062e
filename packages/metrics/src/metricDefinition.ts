import type {
  AdmissionRefusal,
  CallKind,
  CallPhase,
  DutyName,
  NodeRole,
  Outcome,
  Priority,
  StageKind,
  TargetState,
} from '@galenatiller/types';

/** How a metric is aggregated: a sum, the last value, or a distribution of durations. */
export type MetricType = 'count' | 'gauge' | 'timing';

/**
 * Every tag with its values. Names of organisations, requests and targets are never tags, so that the
 * number of time series stays small.
 */
export interface MetricTags {
  readonly priority: Priority;
  readonly kind: StageKind;
  readonly outcome: Outcome;
  readonly state: TargetState;
  /** A result code. */
  readonly code: number;
  readonly result: 'ok' | 'failed';
  readonly direction: 'sent' | 'received';
  readonly callKind: CallKind;
  /** How a call ended for its caller: with the response of a target, or one of the router's own. */
  readonly ending: 'answered' | 'refused-not-run' | 'failed' | 'cut' | 'caller-gone';
  /** How far a call had come when the stop of its router ended it. */
  readonly callPhase: CallPhase;
  /** Priority of a call; 0 is the highest. */
  readonly callPriority: '0' | '1' | '2' | '3' | 'lower';
  /** Why a call was turned away before any work for it began. */
  readonly refusal: AdmissionRefusal;
  /** What a call was given up before: a stage or its send. */
  readonly givenUpBefore: 'stage' | 'send';
  /** How one attempt to send a call to a target ended. */
  readonly send: 'answered' | 'refused' | 'moved' | 'inputs-gone' | 'unsent' | 'broken' | 'foreign';
  /** HTTP status of a target's response. */
  readonly targetStatus: number;
  /** What was learnt, after the end of an answer, of the process that sent it. */
  readonly sender: 'same-start' | 'other-start' | 'gone' | 'unknown' | 'not-asked';
  /** How a call to a stage worker ended. */
  readonly batch: 'answered' | 'refused' | 'moved' | 'unreachable' | 'broken';
  /** The duty for which the provider was called. */
  readonly duty: DutyName;
  /** How a call to the provider ended. */
  readonly providerCall: 'accepted' | 'superseded' | 'limited' | 'unknown';
  /** What was decided on the report of a window. */
  readonly usageWindow: 'fixed' | 'left-out';
  /** How the holding of a duty changed, as the router saw it. */
  readonly dutyChange: 'taken' | 'renewed' | 'in-doubt' | 'regained' | 'lost' | 'released';
  /** The limit for callers that ended a connection, a body or a request. */
  readonly limit:
    | 'connections'
    | 'heads'
    | 'unread'
    | 'not-reading'
    | 'requests'
    | 'too-slow'
    | 'no-memory'
    | 'busy';
  readonly storeCall: 'range' | 'watch' | 'txn' | 'lease-grant' | 'lease-keep' | 'lease-end';
}

/** Definition of a metric. */
export interface MetricDefinition {
  readonly name: string;
  readonly type: MetricType;
  readonly unit: string;
  readonly tags: readonly (keyof MetricTags)[];
  /** `both` means entry and gate. */
  readonly role: NodeRole | 'both' | 'router';
  readonly meaning: string;
}
