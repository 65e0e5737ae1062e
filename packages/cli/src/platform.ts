/** What the commands need from the platform and the nodes; every part is a function. */
import type { GalenatillerError } from '@galenatiller/error';
import type {
  NodeStatus,
  RequestExplanation,
  TimelineQuery,
  TimelineResponse,
} from '@galenatiller/operator';
import type { TimerService } from '@galenatiller/timer';
import type { Host, Rule } from '@galenatiller/types';
import type { Result } from 'true-myth';

/** An answer of the platform or of a node. */
export type AsyncResult<Value> = Promise<Result<Value, GalenatillerError>>;

/** The accepted rules as the store holds them. */
export interface StoredConfiguration {
  /** 0 before the first change. */
  readonly revision: number;
  readonly author: string;
  readonly rules: readonly Rule[];
}

/** A change of the rules; accepted only while `baseRevision` is the newest. */
export interface PublishOptions {
  readonly author: string;
  readonly baseRevision: number;
  readonly rules: readonly Rule[];
}

/** Answer to a change; after `conflict` nothing was written. */
export type PublishResult =
  | { readonly kind: 'accepted'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly current: StoredConfiguration };

/** The platform and the nodes as the commands see them. */
export interface Platform {
  readonly timer: TimerService;
  readonly readConfiguration: () => AsyncResult<StoredConfiguration>;
  readonly publishConfiguration: (opts: PublishOptions) => AsyncResult<PublishResult>;
  readonly fetchHosts: () => AsyncResult<readonly Host[]>;
  readonly fetchStatus: (host: Host) => AsyncResult<NodeStatus>;
  readonly fetchTimeline: (host: Host, query: TimelineQuery) => AsyncResult<TimelineResponse>;
  readonly fetchExplanation: (host: Host, requestId: string) => AsyncResult<RequestExplanation>;
}
