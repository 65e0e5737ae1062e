import type { NodeRole, Outcome, Priority, StageKind, TargetState } from '@galenatiller/types';

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
}

/** One metric of the table. */
export interface MetricRow {
  readonly name: string;
  readonly type: MetricType;
  readonly unit: string;
  readonly tags: readonly (keyof MetricTags)[];
  readonly role: NodeRole | 'both';
  readonly meaning: string;
}
