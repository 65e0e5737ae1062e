import type { GalenatillerError } from '@galenatiller/error';
import type { StageOrder, StagePart, StageResult, TargetKind } from '@galenatiller/types';
import type { Result } from 'true-myth';

/** Options of {@link RunOnTarget}. */
export interface RunOnTargetOptions {
  readonly url: string;
  readonly order: StageOrder;
  /** Aborts the run at the target. */
  readonly signal: AbortSignal;
  /** Takes streamed text; only engines stream. */
  readonly onPart: (part: StagePart) => void;
}

/** Runs a stage on a target of one kind. */
export type RunOnTarget = (
  opts: RunOnTargetOptions,
) => Promise<Result<StageResult, GalenatillerError>>;

/** How to run a stage on each kind of target. */
export type TargetRunners = Readonly<Record<TargetKind, RunOnTarget>>;
