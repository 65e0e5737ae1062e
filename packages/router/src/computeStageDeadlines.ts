import type { BatchLimits, RouteConfig, RoutedCall } from '@galenatiller/types';

/** Options of {@link computeStageDeadlines}. */
export interface ComputeStageDeadlinesOptions {
  readonly route: RouteConfig;
  readonly call: RoutedCall;
  /** Monotonic time at which the response has to start. */
  readonly endAtMs: number;
  /** Usual time from the send of the call to the start of its response. */
  readonly responseMs: number;
  readonly findLimits: (service: string) => BatchLimits | undefined;
}

/** Monotonic time by which each stage has to be done, so that later steps fit if nothing waits. */
export function computeStageDeadlines(opts: ComputeStageDeadlinesOptions): readonly number[] {
  const { stages } = opts.route;
  const deadlines: number[] = stages.map(() => opts.endAtMs - opts.responseMs);
  // A stage comes after those that it depends on, so the deadline of the last one is computed first.
  for (let position = stages.length - 1; position >= 0; position -= 1) {
    const stage = stages[position];
    const startByMs = (deadlines[position] ?? opts.endAtMs) - estimateStageMs(opts, position);
    stage?.dependsOn.forEach((dependency) => {
      deadlines[dependency] = Math.min(deadlines[dependency] ?? startByMs, startByMs);
    });
  }
  return deadlines;
}

/** Reserve for unforeseen waits. */
const ZONE_WAIT_MARGIN_MS = 150;

/** Monotonic time until which each stage may wait for a zone and still be on time with full batches. */
export function computeZoneWaitLimits(opts: ComputeStageDeadlinesOptions): readonly number[] {
  return computeStageDeadlines(opts).map((doneByMs, position) => {
    const limits = opts.findLimits(opts.route.stages[position]?.service ?? '');
    const callMs = limits ? limits.callOverheadMs + limits.pieceMs * limits.maxPieces : 0;
    return doneByMs - callMs - ZONE_WAIT_MARGIN_MS;
  });
}

/** Time of one batch call with the pieces of a stage; 0 for a stage without pieces. */
function estimateStageMs(opts: ComputeStageDeadlinesOptions, position: number): number {
  const pieces = getPieceCount(opts.call, position);
  const limits = opts.findLimits(opts.route.stages[position]?.service ?? '');
  if (!limits || pieces === 0) {
    return 0;
  }
  return limits.callOverheadMs + limits.pieceMs * Math.min(pieces, limits.maxPieces);
}

/** Number of pieces of a stage; 1 when the call does not state it. */
export function getPieceCount(call: RoutedCall, stage: number): number {
  return call.stagePieces[stage] ?? 1;
}
