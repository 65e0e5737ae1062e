/** One run of a call on a target, as evidence on the version of the target. */
export interface VersionRun {
  /** `lost`: the caller left, or the deadline passed, before the run gave it what it waited for. */
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

/** A prompt that a target has not cached delays its first event by this at most, and this share of the objective. */
const MAX_START_ALLOWANCE_MS = 300;
const START_ALLOWANCE_SHARE = 0.25;

/** Time by which the first event may come later on a target of a version that has nothing cached. */
export function computeStartAllowanceMs(objectiveMs: number): number {
  return Math.min(MAX_START_ALLOWANCE_MS, objectiveMs * START_ALLOWANCE_SHARE);
}
