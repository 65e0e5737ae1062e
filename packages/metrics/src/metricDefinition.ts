import type {
  CallKind,
  NodeRole,
  Outcome,
  Priority,
  StageKind,
  TargetState,
} from '@galenatiller/types';

/** How a metric adds up: a sum, a last value, or a distribution of times. */
export type MetricType = 'count' | 'gauge' | 'timing';

/** Every tag with its few values; names of organisations, requests and targets are never tags. */
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
  /** How a call ended for its caller: by a target's answer, or by one of our own. */
  readonly ending: 'answered' | 'refused-not-run' | 'failed' | 'cut' | 'caller-gone';
  /** How one send to a target ended. */
  readonly send: 'answered' | 'refused' | 'moved' | 'inputs-gone' | 'unsent' | 'broken' | 'foreign';
  readonly batch: 'answered' | 'refused' | 'moved' | 'unreachable' | 'broken';
  readonly storeCall: 'range' | 'watch' | 'txn' | 'lease-grant' | 'lease-keep' | 'lease-end';
}

/** One metric of the table. */
export interface MetricDefinition {
  readonly name: string;
  readonly type: MetricType;
  readonly unit: string;
  readonly tags: readonly (keyof MetricTags)[];
  /** `both` stands for entry and gate. */
  readonly role: NodeRole | 'both' | 'router';
  readonly meaning: string;
}
