import type { GalenatillerError } from '@galenatiller/error';
import { linkAborts, whenAborted } from '@galenatiller/tasks';

import { computeTimeLimitMs } from './computeTimeLimitMs.js';
import { createEstimate } from './createEstimate.js';
import { admitCall, type AdmittedCall } from './admitCall.js';
import { classifyEnding, recordCallMetrics } from './recordMetrics.js';
import { createBodyError } from './createBodyError.js';
import type { CallerExchange } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { TrackedCall } from './routerStop.js';
import { computeFingerprints } from './computeFingerprints.js';
import { CallProgress } from './callProgress.js';
import { endForPause } from './endForPause.js';
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
import { endFailedStages } from './endFailedStages.js';
import { runAttempts } from './runAttempts.js';
import { findStoppedPiece } from './pieceSuspects.js';
import { runStageRound } from './runStageRound.js';
import type { StagesDone } from './runStages.js';
import { StageProgress } from './stageProgress.js';

/** Options of {@link serveCall}. */
export interface ServeCallOptions {
  readonly context: RouterContext;
  readonly exchange: CallerExchange;
}

/** How many times the stages of a call may run: again when a result is lost before its use. */
const MAX_STAGE_ROUNDS = 2;

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
  const { context, admitted, tracked } = opts;
  const { timer, loopLag } = context;
  const { deadlineAtMs } = admitted;
  const limitMs = computeTimeLimitMs({
    nowMs: timer.nowMs(),
    deadlineAtMs,
    loopLagMs: loopLag.meanMs,
  });
  const deadline = timer.startTimeLimit({ limitMs, parent: tracked.signal });
  try {
    await serveByDeadline(opts, deadline.signal);
  } finally {
    deadline.release();
  }
}

async function serveByDeadline(opts: ServeAdmittedOptions, deadline: AbortSignal): Promise<void> {
  const { context, exchange, admitted, tracked } = opts;
  const { call } = exchange;
  const body = await Promise.race([
    exchange.readBody({
      maxBytes: admitted.maxBodyBytes,
      deadlineAtMs: admitted.deadlineAtMs,
    }),
    whenAborted(deadline),
  ]);
  tracked.enter('staging');
  if (!tracked.check()) {
    refuse(opts, createStoppingError(), admitted);
    return;
  }
  if (!body) {
    refuse(opts, createBodyError('too-slow', admitted));
    return;
  }
  if (body.isErr) {
    if (body.error !== 'broken') {
      refuse(opts, createBodyError(body.error, admitted));
    }
    return;
  }
  const { organisation } = admitted;
  const { crashSuspects, hash } = context;
  const fingerprints = computeFingerprints({ hash, organisation, call, body: body.value });
  const [content = ''] = fingerprints;
  const stopped =
    crashSuspects.findStopped(fingerprints) ??
    findStoppedPiece({ crashSuspects, ...admitted, call, content });
  if (stopped !== undefined) {
    refuse(opts, createStoppedError(stopped), admitted);
    return;
  }
  const progress = CallProgress.create({ ...exchange, lastEventId: call.lastEventId });
  const end =
    endForPause(opts, progress) ??
    (await runCall({ ...opts, fingerprints, body: body.value, progress, deadline }));
  finish(opts, admitted, settleEnding({ exchange, progress, end }));
}

interface RunCallOptions extends ServeAdmittedOptions {
  readonly fingerprints: readonly string[];
  readonly body: Buffer;
  readonly progress: CallProgress;
  /** Aborts when the final response is due, and when the stop of the router ends the call. */
  readonly deadline: AbortSignal;
}

async function runCall(opts: RunCallOptions): Promise<Answered | Refused> {
  const { exchange, deadline } = opts;
  const { signal, release } = linkAborts([deadline, exchange.disconnected]);
  try {
    return await runRounds(opts, signal);
  } finally {
    release();
  }
}

/** Runs the stages and the attempts of a call, again if stage results are lost before their use. */
async function runRounds(
  opts: RunCallOptions,
  callerSignal: AbortSignal,
): Promise<Answered | Refused> {
  const { exchange, admitted, progress, deadline } = opts;
  const { route } = admitted;
  // An at-most-once call runs on when its caller disconnects, because its effect is wanted.
  const signal = route.callKind === 'at-most-once' ? deadline : callerSignal;
  for (let round = 1; ; round += 1) {
    opts.tracked.enter('staging');
    opts.stageProgress.restart();
    const stages = route.stages.length === 0 ? NO_STAGES : await runStageRound(opts, callerSignal);
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

/** The stages of a call that has none. */
const NO_STAGES: StagesDone = { kind: 'done', inputs: [], free: () => {} };

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
