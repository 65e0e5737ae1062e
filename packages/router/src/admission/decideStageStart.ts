import type { BatchLimits, RouteConfig, RoutedCall } from '@galenatiller/types';

import { estimateStageTimes } from '../computeStageDeadlines.js';
import type { StageProgress } from '../stageProgress.js';
import { decideStart, findOthersOldestMs, type StageStartDecision } from './decideStart.js';
import { type CallEstimate, estimateCall, type FindWaits } from './estimateCall.js';

/** What the estimate of a call is computed from. */
export interface EstimateInputs {
  readonly route: RouteConfig;
  readonly call: RoutedCall;
  readonly priority: number;
  readonly findLimits: (service: string) => BatchLimits | undefined;
  readonly findWaits: FindWaits;
  /** Time from the send of the call to the start of its response that few responses exceed. */
  readonly responseMs: number;
  /** The same for few responses that are faster. */
  readonly fastResponseMs: number;
}

/** Options of {@link decideStageStart}. */
export interface StageStartOptions extends EstimateInputs {
  readonly position: number;
  readonly stageProgress: Pick<StageProgress, 'isDone' | 'runningMs'>;
  /** Time until the caller no longer waits for the start of a response. */
  readonly leftMs: number;
  /** Whether the call can no longer meet its latency objective. */
  readonly isLate: boolean;
}

/** Estimates when the response to a call starts of which no stage has run. */
export function estimateNewCall(opts: EstimateInputs): CallEstimate {
  return estimateCall({ ...opts, stagesMs: estimateStageTimes(opts) });
}

/** Decides whether a stage of a call starts now, from what is left of the call. */
export function decideStageStart(opts: StageStartOptions): StageStartDecision {
  const { route, position, stageProgress, findLimits } = opts;
  const isDone = (other: number): boolean => stageProgress.isDone(other);
  const stage = route.stages[position];
  const stagesMs = estimateStageTimes(opts).map((stageMs, other) =>
    isDone(other) ? 0 : Math.max(0, stageMs - stageProgress.runningMs(other)),
  );
  return decideStart({
    estimate: estimateCall({ ...opts, stagesMs }),
    leftMs: opts.leftMs,
    hasNoInputs: stage?.dependsOn.length === 0,
    isLate: opts.isLate,
    othersOldestMs: findOthersOldestMs({ ...opts, isDone }),
    resultTtlMs: findLimits(stage?.service ?? '')?.resultTtlMs ?? Infinity,
  });
}
