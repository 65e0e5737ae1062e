import type { RouteConfig } from '@galenatiller/types';

import { getPieceCount } from './computeStageDeadlines.js';
import { computeStartDelayMs } from './computeStartDelay.js';
import type { CallerExchange } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { StageResultHandle, SubmitPiece } from './runStages.js';
import type { StageProgress } from './stageProgress.js';

/** A call whose stages run. */
interface StagedCall {
  readonly context: RouterContext;
  readonly exchange: Pick<CallerExchange, 'call'>;
  readonly admitted: { readonly route: RouteConfig };
  readonly stageProgress: StageProgress;
}

/** Time for which a stage of a call should still wait before it starts. */
export function findStartDelayMs(opts: StagedCall, position: number): number {
  const { context, exchange, admitted, stageProgress } = opts;
  return computeStartDelayMs({
    route: admitted.route,
    call: exchange.call,
    position,
    findLimits: (service) => context.routes.findService(service)?.batch,
    stageProgress,
    stageTimes: context.stageTimes,
    nowMs: context.timer.nowMs(),
  });
}

/** Records that a stage of a call starts, and for how long that was put off. */
export function recordStageStart(opts: StagedCall, position: number, delayedMs: number): void {
  opts.stageProgress.recordStart(position);
  if (delayedMs > 0) {
    const { metrics } = opts.context;
    metrics.timing({ name: 'router.stage_start_delay', tags: {}, durationMs: delayedMs });
  }
}

/** Records that a stage of a call has its results, and how long it took. */
export function recordStageDone(opts: StagedCall, position: number): void {
  const { context, admitted, stageProgress } = opts;
  stageProgress.recordDone(position);
  if (getPieceCount(opts.exchange.call, position) > 0) {
    context.stageTimes.observe({
      route: admitted.route.name,
      position,
      durationMs: stageProgress.runningMs(position),
      nowMs: context.timer.nowMs(),
    });
  }
}

/** Submits pieces and measures how long they take. */
export function submitTimed(context: RouterContext): SubmitPiece {
  return async (submitted) => {
    const startedAtMs = context.timer.nowMs();
    const result = await context.submitPiece(submitted);
    if (result.kind === 'made') {
      const nowMs = context.timer.nowMs();
      const durationMs = nowMs - startedAtMs;
      context.pieceTimes.observe({ name: submitted.service, durationMs, nowMs });
    }
    return result;
  };
}

/** Frees results that are no longer needed. */
export function freeResults(context: RouterContext, results: readonly StageResultHandle[]): void {
  if (results.length > 0) {
    context.freeResults(results.map(({ handle }) => handle));
  }
}
