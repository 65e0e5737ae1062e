/** The kinds of events recorded in the timeline. */
export type TimelineEventKind =
  | 'process-started'
  | 'process-stopping'
  | 'request-accepted'
  | 'request-refused'
  | 'request-answered'
  | 'request-cancelled'
  | 'target-chosen'
  | 'stage-sent'
  | 'stage-queued'
  | 'stage-started'
  | 'stage-ended'
  | 'stage-retried'
  | 'stream-resumed'
  | 'target-cold'
  | 'target-ready'
  | 'target-down'
  | 'target-leaving'
  | 'target-paused'
  | 'link-opened'
  | 'link-closed'
  | 'configuration-in-force'
  | 'store-lost'
  | 'store-found'
  | 'version-stopped'
  | 'version-moved'
  | 'fingerprint-stopped'
  | 'lease-gained'
  | 'lease-lost';

/** A timestamp of a hybrid logical clock; orders the events of all processes causally. */
export interface HybridTimestamp {
  readonly wallMs: number;
  readonly counter: number;
}

/** One event of the timeline. Fields that do not apply are empty strings. */
export interface TimelineEvent {
  readonly stamp: HybridTimestamp;
  readonly nodeName: string;
  readonly kind: TimelineEventKind;
  readonly requestId: string;
  readonly subject: string;
  readonly detail: string;
}
