import { GalenatillerError } from '@galenatiller/error';
import { whenAborted } from '@galenatiller/tasks';

import { createEstimate } from './createEstimate.js';
import { admitCall, type AdmittedCall } from './admitCall.js';
import { predictZone } from './chooseTargetForCall.js';
import { classifyEnding, recordCallMetrics } from './recordMetrics.js';
import { createBodyError } from './createBodyError.js';
import type { CallerExchange } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { TrackedCall } from './routerStop.js';
import { computeFingerprints } from './computeFingerprints.js';
import { CallProgress } from './callProgress.js';
import { endForPause } from './endForPause.js';
import { findReturnMs } from './findPauseWait.js';
import {
  type Answered,
  type CallEnding,
  createStoppedError,
  createStoppingError,
  endAborted,
  endDisconnected,
  endWithError,
  type Refused,
  settleEnding,
} from './endAttempts.js';
import { runAttempts } from './runAttempts.js';
import { runStages, type StagesDone, type StagesFailed } from './runStages.js';
import { StageProgress } from './stageProgress.js';
import {
  findStartDelayMs,
  freeResults,
  recordStageDone,
  recordStageStart,
  submitTimed,
} from './stageTiming.js';
import {
  computeStageDeadlines,
  computeStageUrgencies,
  computeZoneWaitLimits,
} from './computeStageDeadlines.js';

/** Options of {@link serveCall}. */
export interface ServeCallOptions {
  readonly context: RouterContext;
  readonly exchange: CallerExchange;
}

/** How many times the stages of a call may run: again when a result is lost before its use. */
const MAX_STAGE_ROUNDS = 2;

/** Extra time for a response that is ready at the deadline; callers still count it as in time. */
const RESPONSE_GRACE_MS = 60;

/** Time to retry after the stages failed: about the duration of a batch call to a stage worker. */
const STAGES_RETRY_AFTER_MS = 400;

/**
 * Time to retry when the queues are too long, as a share of the time left; callers wait for a third
 * of it at most.
 */
const BUSY_RETRY_AFTER_SHARE = 0.3;

/** The task of one call: admits it, reads its body, runs its stages, sends it and responds. */
export async function serveCall(opts: ServeCallOptions): Promise<void> {
  const { context, exchange } = opts;
  const { call, receivedAtMs } = exchange;
  const admission = admitCall({ context, call, receivedAtMs });
  if (admission.isErr) {
    refuse(opts, admission.error);
    return;
  }
  const admitted = admission.value;
  const refusal = context.admission.findRefusal({ admitted, call });
  if (refusal) {
    refuse(opts, refusal, admitted);
    return;
  }
  const stageProgress = StageProgress.create(context);
  const tracked = context.stop.track({
    requestId: call.requestId,
    route: admitted.route.name,
    receivedAtMs,
    estimateMs: createEstimate({ ...opts, admitted, stageProgress }),
  });
  try {
    await serveAdmitted({ ...opts, admitted, tracked, stageProgress });
  } finally {
    tracked.release();
    exchange.release();
  }
}

interface ServeAdmittedOptions extends ServeCallOptions {
  readonly admitted: AdmittedCall;
  readonly tracked: TrackedCall;
  /** Positions of the stages that have their results. */
  readonly stageProgress: StageProgress;
}

async function serveAdmitted(opts: ServeAdmittedOptions): Promise<void> {
  const { context, exchange, admitted, tracked } = opts;
  const { call } = exchange;
  const body = await Promise.race([
    exchange.readBody({
      maxBytes: admitted.maxBodyBytes,
      deadlineAtMs: admitted.deadlineAtMs,
    }),
    whenAborted(tracked.signal),
  ]);
  tracked.enter('staging');
  if (!body || !tracked.check()) {
    refuse(opts, createStoppingError(), admitted);
    return;
  }
  if (body.isErr) {
    if (body.error !== 'broken') {
      refuse(opts, createBodyError(body.error, admitted));
    }
    return;
  }
  const fingerprints = computeFingerprints({
    call,
    organisation: admitted.organisation,
    body: body.value,
    hash: context.hash,
  });
  const stopped = context.crashSuspects.findStopped(fingerprints);
  if (stopped !== undefined) {
    refuse(opts, createStoppedError(stopped), admitted);
    return;
  }
  const limitMs = Math.max(0, admitted.deadlineAtMs + RESPONSE_GRACE_MS - context.timer.nowMs());
  const deadline = context.timer.startTimeLimit({ limitMs });
  const progress = CallProgress.create({ lastEventId: call.lastEventId });
  try {
    const end =
      endForPause(opts, progress) ??
      (await runCall({
        ...opts,
        fingerprints,
        body: body.value,
        progress,
        deadline: AbortSignal.any([deadline.signal, tracked.signal]),
      }));
    finish(opts, admitted, settleEnding({ exchange, progress, end }));
  } finally {
    deadline.release();
  }
}

interface RunCallOptions extends ServeAdmittedOptions {
  readonly fingerprints: readonly string[];
  readonly body: Buffer;
  readonly progress: CallProgress;
  /** Aborts when the final response is due, and when the stop of the router ends the call. */
  readonly deadline: AbortSignal;
}

async function runCall(opts: RunCallOptions): Promise<Answered | Refused> {
  const { exchange, admitted, progress, deadline } = opts;
  const { route } = admitted;
  const callerSignal = AbortSignal.any([deadline, exchange.disconnected]);
  // An at-most-once call runs on when its caller disconnects, because its effect is wanted.
  const signal = route.callKind === 'at-most-once' ? deadline : callerSignal;
  for (let round = 1; ; round += 1) {
    opts.tracked.enter('staging');
    opts.stageProgress.restart();
    const stages = await runStageRound(opts, callerSignal);
    const { free } = stages;
    try {
      if (stages.kind === 'failed') {
        if (stages.reason !== 'input-gone' || round === MAX_STAGE_ROUNDS) {
          return endFailedStages(opts, stages);
        }
        continue;
      }
      if (exchange.disconnected.aborted) {
        return progress.runs > 0 ? endAborted(progress) : endDisconnected();
      }
      const { inputs } = stages;
      const end = await runAttempts({ ...opts, inputs, signal, onInputsConsumed: free });
      if (end.kind !== 'inputs-gone') {
        return end;
      }
      if (round === MAX_STAGE_ROUNDS) {
        const detail = 'stage results were lost twice before they were used';
        return endWithError(progress, 'deadline-unreachable', detail);
      }
    } finally {
      free();
    }
  }
}

/** Runs all stages of a call once. */
function runStageRound(
  opts: RunCallOptions,
  signal: AbortSignal,
): Promise<StagesDone | StagesFailed> {
  const { context, exchange, admitted } = opts;
  const { route } = admitted;
  const deadlineOptions = {
    route,
    call: exchange.call,
    responseMs: context.responseTimes.estimateMs({
      name: admitted.service,
      nowMs: context.timer.nowMs(),
    }),
    findLimits: (service: string) => context.routes.findService(service)?.batch,
  };
  return runStages({
    route,
    call: exchange.call,
    priority: admitted.priority,
    deadlinesAtMs: computeStageDeadlines({
      ...deadlineOptions,
      respondByMs: admitted.firstByteDeadlineAtMs,
    }),
    dueAtMs: admitted.dueAtMs,
    urgencies: computeStageUrgencies({
      ...deadlineOptions,
      respondByMs: admitted.dueAtMs,
      organisation: admitted.organisation,
    }),
    zoneWaitsUntilMs: computeZoneWaitLimits({
      ...deadlineOptions,
      respondByMs: admitted.dueAtMs,
    }),
    zoneHint: predictZone(opts),
    nowMs: () => context.timer.nowMs(),
    resultTtlMs: (service) => deadlineOptions.findLimits(service)?.resultTtlMs ?? 0,
    submit: submitTimed(context),
    startDelayMs: (position) => findStartDelayMs(opts, position),
    sleep: (sleep) => context.timer.sleep(sleep),
    onStageStarted: (position, delayedMs) => recordStageStart(opts, position, delayedMs),
    onStageDone: (position) => recordStageDone(opts, position),
    free: (results) => freeResults(context, results),
    signal,
  });
}

function endFailedStages(opts: RunCallOptions, failure: StagesFailed): Refused {
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
  const service = admitted.route.stages[failure.stage]?.service ?? '';
  const leftMs = Math.max(0, admitted.firstByteDeadlineAtMs - context.timer.nowMs());
  const error = GalenatillerError.create({
    name: 'deadline-unreachable',
    detail: `stage ${failure.stage} on ${service} failed: ${failure.reason}`,
    retryAfterMs: Math.max(
      findReturnMs(context, service) ?? 0,
      failure.reason === 'busy' ? leftMs * BUSY_RETRY_AFTER_SHARE : STAGES_RETRY_AFTER_MS,
    ),
  });
  return { kind: 'refused', error };
}

function finish(opts: ServeCallOptions, admitted: AdmittedCall, end: CallEnding): void {
  const { context, exchange } = opts;
  if (end.kind === 'refused') {
    refuse(opts, end.error, admitted);
    return;
  }
  const tookMs = context.timer.nowMs() - exchange.receivedAtMs;
  recordCallMetrics({
    metrics: context.metrics,
    callKind: admitted.route.callKind,
    ending: end.kind,
    tookMs,
  });
  context.log({
    about: 'decision',
    event: 'call-ended',
    requestId: exchange.call.requestId,
    route: admitted.route.name,
    tookMs: Math.round(tookMs),
    isLate: context.timer.nowMs() > admitted.dueAtMs,
    callerGone: exchange.disconnected.aborted,
    outcome: end.kind === 'answered' ? String(end.status) : `cut: ${end.detail}`,
  });
}

function refuse(opts: ServeCallOptions, error: GalenatillerError, admitted?: AdmittedCall): void {
  const { context, exchange } = opts;
  const tookMs = context.timer.nowMs() - exchange.receivedAtMs;
  if (admitted) {
    recordCallMetrics({
      metrics: context.metrics,
      callKind: admitted.route.callKind,
      ending: classifyEnding(error),
      tookMs,
    });
  }
  context.log({
    about: 'decision',
    event: 'call-refused',
    requestId: exchange.call.requestId,
    route: admitted?.route.name,
    tookMs: Math.round(tookMs),
    configuration: context.routes.currentConfiguration()?.version,
    evidenceAgeMs: Math.round(Math.min(context.evidenceAgeMs(), Number.MAX_SAFE_INTEGER)),
    callerGone: exchange.disconnected.aborted,
    code: error.code,
    outcome: `${error.codeName} (${error.outcome}): ${error.detail}`,
  });
  if (!exchange.disconnected.aborted) {
    exchange.refuse(error);
  }
}
