import type { Priority } from '@galenatiller/types';
import type { Maybe } from 'true-myth';

/** What the queue of a target must know of an order. */
export interface QueuedRequest {
  readonly organisation: string;
  readonly priority: Priority;
  /** Monotonic time of the deadline. */
  readonly deadlineAtMs: number;
  /** Expected time of the run; 0 when unknown. */
  readonly expectedRunMs: number;
  /** How much longer than expected a run may easily take. */
  readonly safetyMarginMs: number;
}

/**
 * Orders that wait for one target. Every order passes through, also when a slot is free, so that
 * shares count all work: push it, take while slots are free, then shed what is over the limit.
 */
export interface RequestQueue<Order extends QueuedRequest> {
  readonly size: number;
  readonly push: (order: Order) => void;
  /** Takes the order that runs next. */
  readonly take: () => Maybe<Order>;
  /** Takes one order out, for instance a cancelled one; false when it does not wait. */
  readonly remove: (order: Order) => boolean;
  /** Takes out the orders that are not to run in time any more, to be refused as not run. */
  readonly expire: (opts: { readonly nowMs: number }) => readonly Order[];
  /** Takes out the orders over the limit, to be refused as not run. */
  readonly shed: (opts: { readonly maxSize: number }) => readonly Order[];
  /** The waiting orders that run before an order if it is pushed now and no other comes. */
  readonly listRequestsAhead: (order: Order) => readonly Order[];
}

/** Options of {@link QueuePolicy.createQueue}. */
export interface CreateQueueOptions {
  /** Weight of an organisation, above 0. */
  readonly getWeight: (organisation: string) => number;
}

/** Options of {@link DecideAdmission}. */
export interface DecideAdmissionOptions {
  readonly nowMs: number;
  readonly deadlineAtMs: number;
  readonly expectedRunMs: number;
  readonly safetyMarginMs: number;
  /** Expected time until each running order ends. */
  readonly inFlightRemainingMs: readonly number[];
  readonly inFlightLimit: number;
  /** Expected run time of each order that runs before this one, in their order. */
  readonly aheadRunMs: readonly number[];
}

/** Whether an order may wait for its turn; a refused one was not run. */
export type AdmissionDecision =
  | { readonly kind: 'admit'; readonly waitMs: number }
  /** `retryAfterMs` is 0 when waiting would not help. */
  | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Decides whether an order may wait for its turn. */
export type DecideAdmission = (opts: DecideAdmissionOptions) => AdmissionDecision;

/** The decisions about waiting orders, passed in as functions. */
export interface QueuePolicy {
  readonly createQueue: <Order extends QueuedRequest>(
    opts: CreateQueueOptions,
  ) => RequestQueue<Order>;
  readonly decideAdmission: DecideAdmission;
}
