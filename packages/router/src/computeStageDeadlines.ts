import type { BatchLimits, RoutedCall, RouteConfig } from '@galenatiller/types';

/** Options of {@link computeStageDeadlines}. */
export interface ComputeStageDeadlinesOptions {
  readonly route: RouteConfig;
  readonly call: RoutedCall;
  /** Monotonic time at which the answer has to begin. */
  readonly endAtMs: number;
  /** Usual time from the send of the call to the start of its answer. */
  readonly answerMs: number;
  readonly findLimits: (service: string) => BatchLimits | undefined;
}

/** Monotonic time by which each stage has to be done, so that what follows it fits, without waits. */
export function computeStageDeadlines(opts: ComputeStageDeadlinesOptions): readonly number[] {
  const { stages } = opts.route;
  const deadlines: number[] = stages.map(() => opts.endAtMs - opts.answerMs);
  // A stage comes after those that it needs, so the last one is settled first.
  for (let position = stages.length - 1; position >= 0; position -= 1) {
    const stage = stages[position];
    const startByMs = (deadlines[position] ?? opts.endAtMs) - usualMs(opts, position);
    stage?.dependsOn.forEach((earlier) => {
      deadlines[earlier] = Math.min(deadlines[earlier] ?? startByMs, startByMs);
    });
  }
  return deadlines;
}

/** What is kept of the time, for waits that can't be foreseen. */
const ZONE_WAIT_MARGIN_MS = 150;

/** Monotonic time until which each stage may wait and its call still be on time after full calls. */
export function computeZoneWaitLimits(opts: ComputeStageDeadlinesOptions): readonly number[] {
  return computeStageDeadlines(opts).map((doneByMs, position) => {
    const limits = opts.findLimits(opts.route.stages[position]?.service ?? '');
    const callMs = limits ? limits.callOverheadMs + limits.pieceMs * limits.maxPieces : 0;
    return doneByMs - callMs - ZONE_WAIT_MARGIN_MS;
  });
}

/** Time of one call with the pieces of a stage; 0 for a stage that is left out. */
function usualMs(opts: ComputeStageDeadlinesOptions, position: number): number {
  const pieces = getPieceCount(opts.call, position);
  const limits = opts.findLimits(opts.route.stages[position]?.service ?? '');
  if (!limits || pieces === 0) {
    return 0;
  }
  return limits.callOverheadMs + limits.pieceMs * Math.min(pieces, limits.maxPieces);
}

/** Number of pieces of a stage; a call that does not say has one. */
export function getPieceCount(call: RoutedCall, stage: number): number {
  return call.stagePieces[stage] ?? 1;
}
