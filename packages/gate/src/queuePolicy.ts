import type { Priority } from '@galenatiller/types';
import type { Maybe } from 'true-myth';

/** Properties of a stage request that the queue of a target uses. */
export interface QueuedRequest {
  readonly organisation: string;
  readonly priority: Priority;
  /** Monotonic time of the deadline. */
  readonly deadlineAtMs: number;
  /** Expected run time; 0 when unknown. */
  readonly expectedRunMs: number;
  /** Time by which a run may well exceed the expected run time. */
  readonly safetyMarginMs: number;
}

/**
 * Stage requests that wait for one target. Every request passes through the queue, even when a slot
 * is free, so that fair shares account for all work: push the request, take requests while slots
 * are free, then shed those over the limit.
 */
export interface RequestQueue<Request extends QueuedRequest> {
  readonly size: number;
  readonly push: (request: Request) => void;
  /** Removes and returns the request that runs next. */
  readonly take: () => Maybe<Request>;
  /** Removes a request, such as a cancelled one; returns false when it is not queued. */
  readonly remove: (request: Request) => boolean;
  /** Removes and returns the requests that are too late to run, to be refused as not run. */
  readonly expire: (opts: { readonly nowMs: number }) => readonly Request[];
  /** Removes and returns the requests over the limit, to be refused as not run. */
  readonly shed: (opts: { readonly maxSize: number }) => readonly Request[];
  /** Lists the queued requests that would run before this one if no other request arrived. */
  readonly listRequestsAhead: (request: Request) => readonly Request[];
}

/** Options of {@link QueuePolicy.createQueue}. */
export interface CreateQueueOptions {
  /** Returns the weight of an organisation, which is above 0. */
  readonly getWeight: (organisation: string) => number;
}

/** Options of {@link DecideAdmission}. */
export interface DecideAdmissionOptions {
  readonly nowMs: number;
  readonly deadlineAtMs: number;
  readonly expectedRunMs: number;
  readonly safetyMarginMs: number;
  /** Expected remaining time of each running request. */
  readonly inFlightRemainingMs: readonly number[];
  readonly inFlightLimit: number;
  /** Expected run time of each request ahead of this one, in queue order. */
  readonly aheadRunMs: readonly number[];
}

/** Whether a request may be queued. A refused request has not run. */
export type AdmissionDecision =
  | { readonly kind: 'admit'; readonly waitMs: number }
  /** `retryAfterMs` is 0 when a later retry would not help. */
  | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Decides whether a request may be queued. */
export type DecideAdmission = (opts: DecideAdmissionOptions) => AdmissionDecision;

/** Decision functions for queued requests. */
export interface QueuePolicy {
  readonly createQueue: <Request extends QueuedRequest>(
    opts: CreateQueueOptions,
  ) => RequestQueue<Request>;
  readonly decideAdmission: DecideAdmission;
}
