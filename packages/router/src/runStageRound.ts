import { GalenatillerError } from '@galenatiller/error';

import type { AdmittedCall } from './admitCall.js';
import type { CallProgress } from './callProgress.js';
import { predictZone } from './chooseTargetForCall.js';
import {
  computeStageDeadlines,
  computeStageUrgencies,
  computeZoneWaitLimits,
} from './computeStageDeadlines.js';
import { createStoppingError, endDisconnected, endWithError, type Refused } from './endAttempts.js';
import { findReturnMs } from './findPauseWait.js';
import { recordGivenUp, recordHeldStage } from './heldCalls.js';
import type { CallerExchange } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { TrackedCall } from './routerStop.js';
import { runStages, type StagesDone, type StagesFailed } from './runStages.js';
import type { StageProgress } from './stageProgress.js';
import {
  findStartDelayMs,
  freeResults,
  recordStageDone,
  recordStageStart,
  submitTimed,
} from './stageTiming.js';

/** Options of {@link runStageRound}. */
export interface StageRoundOptions {
  readonly context: RouterContext;
  readonly exchange: CallerExchange;
  readonly admitted: AdmittedCall;
  readonly tracked: TrackedCall;
  readonly stageProgress: StageProgress;
  readonly progress: CallProgress;
}

/** Time to retry after the stages failed: about the duration of a batch call to a stage worker. */
const STAGES_RETRY_AFTER_MS = 400;

/**
 * Time to retry when the queues are too long, as a share of the time left; callers wait for a third
 * of it at most.
 */
const BUSY_RETRY_AFTER_SHARE = 0.3;

/** Runs all stages of a call once. */
export function runStageRound(
  opts: StageRoundOptions,
  signal: AbortSignal,
): Promise<StagesDone | StagesFailed> {
  const { context, exchange, admitted, stageProgress } = opts;
  const { call } = exchange;
  const { route } = admitted;
  const deadlineOptions = {
    route,
    call,
    responseMs: context.responseTimes.estimateMs({
      name: admitted.service,
      nowMs: context.timer.nowMs(),
    }),
    findLimits: (service: string) => context.routes.findService(service)?.batch,
  };
  const urgencies = computeStageUrgencies({
    ...deadlineOptions,
    respondByMs: admitted.dueAtMs,
    organisation: admitted.organisation,
  });
  return runStages({
    route,
    call,
    priority: admitted.priority,
    deadlinesAtMs: computeStageDeadlines({
      ...deadlineOptions,
      respondByMs: admitted.firstByteDeadlineAtMs,
    }),
    dueAtMs: admitted.dueAtMs,
    urgencies,
    zoneWaitsUntilMs: computeZoneWaitLimits({
      ...deadlineOptions,
      respondByMs: admitted.dueAtMs,
    }),
    zoneHint: predictZone(opts),
    nowMs: () => context.timer.nowMs(),
    resultTtlMs: (service) => deadlineOptions.findLimits(service)?.resultTtlMs ?? 0,
    submit: submitTimed(context),
    decideStart: (position) => {
      const latestStartAtMs = urgencies[position]?.latestStartAtMs ?? Infinity;
      const stage = { admitted, call, position, stageProgress, latestStartAtMs };
      return context.admission.decideStart(stage);
    },
    startDelayMs: (position) => findStartDelayMs(opts, position),
    sleep: (sleep) => context.timer.sleep(sleep),
    onStageHeld: (position) => recordHeldStage(opts, position),
    onStageStarted: (position, delayedMs) => recordStageStart(opts, position, delayedMs),
    onStageDone: (position) => recordStageDone(opts, position),
    free: (results) => freeResults(context, results),
    signal,
  });
}

/** Ends a call of which a stage has failed. */
export function endFailedStages(opts: StageRoundOptions, failure: StagesFailed): Refused {
  const { context, admitted, progress } = opts;
  if (progress.runs > 0) {
    return endWithError(progress, 'target-failed', progress.lastFailure);
  }
  if (opts.exchange.disconnected.aborted) {
    return endDisconnected();
  }
  if (opts.tracked.signal.aborted) {
    return { kind: 'refused', error: createStoppingError() };
  }
  if (failure.reason === 'hopeless') {
    recordGivenUp(opts, 'stage');
  }
  const service = admitted.route.stages[failure.stage]?.service ?? '';
  const leftMs = Math.max(0, admitted.firstByteDeadlineAtMs - context.timer.nowMs());
  const error = GalenatillerError.create({
    name: 'deadline-unreachable',
    detail: `stage ${failure.stage} on ${service} failed: ${failure.reason}`,
    retryAfterMs: Math.max(
      findReturnMs(context, service) ?? 0,
      failure.reason === 'busy' || failure.reason === 'hopeless'
        ? leftMs * BUSY_RETRY_AFTER_SHARE
        : STAGES_RETRY_AFTER_MS,
    ),
  });
  return { kind: 'refused', error };
}
