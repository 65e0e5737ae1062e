import type { VersionRun } from '@galenatiller/target';
import type { RegisteredTarget } from '@galenatiller/types';

/**
 * One run of a call on a target. `lost`: the caller got nothing of the response before it left or the
 * deadline passed.
 */
export interface ObservedRun extends VersionRun {
  readonly target: RegisteredTarget;
  /** Name of the route of the call. */
  readonly route: string;
}
