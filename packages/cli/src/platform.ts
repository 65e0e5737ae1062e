/** Interface between the commands and the platform with its nodes, as a set of functions. */
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

/** Asynchronous result of a request to the platform or to a node. */
export type AsyncResult<Value> = Promise<Result<Value, GalenatillerError>>;

/** The accepted rules in the store. */
export interface StoredConfiguration {
  /** 0 before the first change. */
  readonly revision: number;
  readonly author: string;
  readonly rules: readonly Rule[];
}

/** A change of the rules, accepted only if `baseRevision` is still the newest revision. */
export interface PublishOptions {
  readonly author: string;
  readonly baseRevision: number;
  readonly rules: readonly Rule[];
}

/** Result of a change; with `conflict`, nothing was written. */
export type PublishResult =
  | { readonly kind: 'accepted'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly current: StoredConfiguration };

/** Access to the platform and its nodes. */
export interface Platform {
  readonly timer: TimerService;
  readonly readConfiguration: () => AsyncResult<StoredConfiguration>;
  readonly publishConfiguration: (opts: PublishOptions) => AsyncResult<PublishResult>;
  readonly fetchHosts: () => AsyncResult<readonly Host[]>;
  readonly fetchStatus: (host: Host) => AsyncResult<NodeStatus>;
  readonly fetchTimeline: (host: Host, query: TimelineQuery) => AsyncResult<TimelineResponse>;
  readonly fetchExplanation: (host: Host, requestId: string) => AsyncResult<RequestExplanation>;
}
