import type { BatchLimits, RouteConfig, RoutedCall } from '@galenatiller/types';

import { estimateStageEndsMs, estimateStageMs, getPieceCount } from './computeStageDeadlines.js';
import { findLastStages } from './stageGraph.js';
import type { StageProgress } from './stageProgress.js';
import type { StageTimes } from './stageTimes.js';

/** Options of {@link computeStartDelayMs}. */
export interface StartDelayOptions {
  readonly route: RouteConfig;
  readonly call: RoutedCall;
  readonly position: number;
  readonly findLimits: (service: string) => BatchLimits | undefined;
  readonly stageProgress: Pick<StageProgress, 'isDone' | 'runningMs'>;
  readonly stageTimes: Pick<StageTimes, 'usualMs' | 'longMs'>;
  readonly nowMs: number;
}

/** Batch calls that a stage without measured times is expected to take: it waits for one before its own. */
const UNMEASURED_CALLS = 2;

/**
 * Time for which a stage should wait before its pieces are submitted: its results, which take up
 * memory at workers, are expected together with the other inputs of what uses them. 0 on the longest
 * path, and whenever a stage that takes unusually long would delay the call.
 */
export function computeStartDelayMs(opts: StartDelayOptions): number {
  const { route, call, position, nowMs } = opts;
  if (getPieceCount(call, position) === 0) {
    return 0;
  }
  const endsInMs = estimateStageEndsMs({
    ...opts,
    isDone: (earlier) => opts.stageProgress.isDone(earlier),
    runningMs: (earlier) => opts.stageProgress.runningMs(earlier),
    usualMs: (earlier) => opts.stageTimes.usualMs({ route: route.name, position: earlier, nowMs }),
  });
  const usedInMs = findUses(route, position).map((inputs) =>
    Math.max(0, ...inputs.map((input) => (input === position ? 0 : (endsInMs[input] ?? 0)))),
  );
  const longMs = Math.max(
    opts.stageTimes.longMs({ route: route.name, position, nowMs }) ||
      UNMEASURED_CALLS * estimateStageMs(opts, position),
    estimateStageMs(opts, position),
  );
  return Math.max(0, Math.min(...usedInMs) - longMs);
}

/** The inputs of each stage that uses the results of a stage, or of the call when none does. */
function findUses({ stages }: RouteConfig, position: number): readonly (readonly number[])[] {
  const uses = stages.filter(({ dependsOn }) => dependsOn.includes(position));
  if (uses.length > 0) {
    return uses.map(({ dependsOn }) => dependsOn);
  }
  return [findLastStages(stages)];
}
