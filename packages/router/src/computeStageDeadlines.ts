import type { BatchLimits, PieceUrgency, RouteConfig, RoutedCall } from '@galenatiller/types';

import { orderStages } from './stageGraph.js';

interface EstimateStageOptions {
  readonly route: RouteConfig;
  readonly call: RoutedCall;
  readonly findLimits: (service: string) => BatchLimits | undefined;
}

/** Options of {@link computeStageDeadlines} and {@link computeZoneWaitLimits}. */
export interface ComputeStageDeadlinesOptions extends EstimateStageOptions {
  /** Monotonic time by which the response has to start. */
  readonly respondByMs: number;
  /** Usual time from the send of the call to the start of its response. */
  readonly responseMs: number;
}

/** Monotonic time by which each stage has to be done for the later steps to fit without queueing. */
export function computeStageDeadlines(opts: ComputeStageDeadlinesOptions): readonly number[] {
  const { stages } = opts.route;
  const deadlines: number[] = stages.map(() => opts.respondByMs - opts.responseMs);
  // The deadline of a stage follows from those of the stages that depend on it.
  orderStages(stages)
    .toReversed()
    .forEach(({ position, stage }) => {
      const startByMs = (deadlines[position] ?? opts.respondByMs) - estimateStageMs(opts, position);
      stage.dependsOn.forEach((dependency) => {
        deadlines[dependency] = Math.min(deadlines[dependency] ?? startByMs, startByMs);
      });
    });
  return deadlines;
}

/** Reserve for unforeseen delays. */
const ZONE_WAIT_MARGIN_MS = 150;

/**
 * Monotonic time until which the pieces of each stage may wait for a worker in the hinted zone and
 * still be on time, even in a full batch.
 */
export function computeZoneWaitLimits(opts: ComputeStageDeadlinesOptions): readonly number[] {
  return computeStageDeadlines(opts).map((doneByMs, position) => {
    const limits = opts.findLimits(opts.route.stages[position]?.service ?? '');
    const callMs = limits ? limits.callOverheadMs + limits.pieceMs * limits.maxPieces : 0;
    return doneByMs - callMs - ZONE_WAIT_MARGIN_MS;
  });
}

/** Options of {@link computeStageUrgencies}. */
export interface ComputeStageUrgenciesOptions extends ComputeStageDeadlinesOptions {
  readonly organisation: string;
}

/** What decides, besides the priority, when the pieces of each stage are taken. */
export function computeStageUrgencies(opts: ComputeStageUrgenciesOptions): readonly PieceUrgency[] {
  const { route, organisation } = opts;
  // While work waits, batch calls are full, whatever the number of pieces that a call adds.
  const stagePieces = route.stages.map((_, position) =>
    getPieceCount(opts.call, position) === 0 ? 0 : Infinity,
  );
  const fullBatches = { ...opts, call: { ...opts.call, stagePieces } };
  const doneBy = computeStageDeadlines(fullBatches);
  const order = orderStages(route.stages).map(({ position }) => position);
  const sumWorkMs = (positions: readonly number[]): number =>
    positions.reduce((sumMs, position) => sumMs + estimateWorkMs(opts, position), 0);
  return route.stages.map(({ dependsOn }, position) => ({
    latestStartAtMs: (doneBy[position] ?? 0) - estimateStageMs(fullBatches, position),
    remainingMs: sumWorkMs(order.slice(order.indexOf(position))),
    hasBegun: dependsOn.length > 0,
    organisation,
  }));
}

/** Time of workers that the pieces of a stage need, with their part of the overhead of full calls. */
function estimateWorkMs(opts: EstimateStageOptions, position: number): number {
  const limits = opts.findLimits(opts.route.stages[position]?.service ?? '');
  const pieceMs = limits ? limits.pieceMs + limits.callOverheadMs / limits.maxPieces : 0;
  return getPieceCount(opts.call, position) * pieceMs;
}

/** Options of {@link estimateStageEndsMs}. */
export interface EstimateStageEndsOptions extends EstimateStageOptions {
  readonly isDone: (position: number) => boolean;
  /** Time since the pieces of a stage were submitted; 0 before. */
  readonly runningMs: (position: number) => number;
  /** Measured time of a stage, including the wait of its pieces; 0 when unknown. */
  readonly usualMs: (position: number) => number;
}

/** Usual time until each stage has its results. */
export function estimateStageEndsMs(opts: EstimateStageEndsOptions): readonly number[] {
  const { stages } = opts.route;
  const endsInMs = stages.map(() => 0);
  orderStages(stages).forEach(({ position, stage }) => {
    const startsInMs = Math.max(
      0,
      ...stage.dependsOn.map((dependency) => endsInMs[dependency] ?? 0),
    );
    const hasWork = !opts.isDone(position) && getPieceCount(opts.call, position) > 0;
    const usualMs = hasWork ? Math.max(estimateStageMs(opts, position), opts.usualMs(position)) : 0;
    endsInMs[position] = startsInMs + Math.max(0, usualMs - opts.runningMs(position));
  });
  return endsInMs;
}

/** Options of {@link estimateStagesLeftMs}. */
export interface EstimateStagesLeftOptions extends Omit<EstimateStageEndsOptions, 'usualMs'> {
  /** Measured time of a piece of a service, including its wait; 0 when unknown. */
  readonly pieceMs: (service: string) => number;
}

/** Usual time until the last of the stages that are not done has its results. */
export function estimateStagesLeftMs(opts: EstimateStagesLeftOptions): number {
  const usualMs = (position: number): number =>
    opts.pieceMs(opts.route.stages[position]?.service ?? '');
  return Math.max(0, ...estimateStageEndsMs({ ...opts, usualMs }));
}

/** Time of each stage without any wait. */
export function estimateStageTimes(opts: EstimateStageOptions): readonly number[] {
  return opts.route.stages.map((_, position) => estimateStageMs(opts, position));
}

/** Time of one batch call with the pieces of a stage; 0 for a stage without pieces. */
export function estimateStageMs(opts: EstimateStageOptions, position: number): number {
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
