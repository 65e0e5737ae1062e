import type { SmoothedDurations, TimerService } from '@galenatiller/timer';
import type { StageRule } from '@galenatiller/types';

import type { GateDirectory } from './gateDirectory.js';
import type { StageEstimate } from './policy.js';

/** What an estimate is made from. */
export interface EstimateStageContext {
  readonly directory: GateDirectory;
  readonly stageDurations: SmoothedDurations;
  readonly timer: TimerService;
}

/** Estimates the run time of a stage, and lists the targets that it can run on. */
export function estimateStage(
  { directory, stageDurations, timer }: EstimateStageContext,
  stage: StageRule,
): StageEstimate {
  return {
    expectedRunMs: stageDurations.estimateMs({ name: stage.name, nowMs: timer.nowMs() }),
    candidates: directory.listTargets(stage.targetGroup),
  };
}
