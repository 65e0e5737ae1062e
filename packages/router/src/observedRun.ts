import type { RegisteredTarget } from '@galenatiller/types';

/** One run of a call on a target. */
export interface ObservedRun {
  readonly target: RegisteredTarget;
  /** Name of the route of the call. */
  readonly route: string;
  /** `lost`: the caller got nothing of the response before it left or the deadline passed. */
  readonly ending: 'good' | 'failed' | 'lost';
  /** Undefined when the run ended before its pace could be measured. */
  readonly paceMs: number | undefined;
  /** The first event of a stream; undefined for other runs, and before it. */
  readonly start?: RunStart | undefined;
}

/** When the first event of a stream arrived. */
export interface RunStart {
  /** Time since the call was sent. */
  readonly tookMs: number;
  /** Time by which it may be later on a target that has no part of the prompt cached. */
  readonly allowanceMs: number;
}
