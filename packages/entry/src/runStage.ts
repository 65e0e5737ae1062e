import { STOP_RETRY_AFTER_MS } from '@galenatiller/constants';
import {
  findResultCodeByNumber,
  GalenatillerError,
  type ResultCodeName,
} from '@galenatiller/error';
import type { Outcome, StageEnd, StageRequest, StageResult, StageRule } from '@galenatiller/types';
import { Result } from 'true-myth';

import { type CallContext, findAbortCause, getRemainingMs } from './callContext.js';
import { estimateStage } from './estimateStage.js';
import { observeVersion } from './observeVersion.js';
import type { TargetView } from './policy.js';
import { runAttempt } from './runAttempt.js';
import { buildStageInput, type DeliveredOutput, type StageData } from './stageInput.js';

/** Options of {@link runStage}. */
export interface RunStageOptions {
  readonly context: CallContext;
  readonly stage: StageRule;
  readonly stageIndex: number;
  readonly data: StageData;
}

/** Result of a completed stage. */
export interface StageSuccess {
  readonly result: StageResult;
  readonly delivered: DeliveredOutput;
}

/** Runs one stage, trying one target after another until an attempt succeeds or retries end. */
export async function runStage(
  opts: RunStageOptions,
): Promise<Result<StageSuccess, GalenatillerError>> {
  const { context, stage } = opts;
  const { policy, timer, random } = context;
  const triedTargets: string[] = [];
  let delivered: DeliveredOutput = { text: '', tokens: 0 };
  let outcome: Outcome = 'not-run';
  let lastEnd: StageEnd | undefined;
  context.retryBudget.deposit(stage.targetGroup);

  for (;;) {
    if (context.signal.aborted) {
      return Result.err(createAbortError(context, outcome));
    }
    if (!canEndBeforeStop(opts)) {
      return Result.err(createStopError(context, outcome));
    }
    const request = buildRequest(opts, triedTargets.length, delivered);
    if (context.crashes.isStopped(request)) {
      return Result.err(createStoppedError(stage, outcome));
    }
    const target = chooseNextTarget(opts, request, triedTargets);
    if (!target) {
      return Result.err(lastEnd ? toError(lastEnd, outcome) : createNoTargetError(stage));
    }
    triedTargets.push(target.report.name);
    recordAttempt(context, request, target);
    const attempt = await runAttempt({
      context,
      gateName: target.gateName,
      request: { ...request, targetName: target.report.name },
      delivered,
    });
    delivered = attempt.delivered;
    const { end } = attempt;
    recordEnd(context, request, end);
    observeVersion({ context, stage, targetVersion: target.report.version, request, attempt });
    if (end.code === 0 && end.result) {
      const { runMs } = end;
      context.stageDurations.observe({ name: stage.name, durationMs: runMs, nowMs: timer.nowMs() });
      return Result.ok({ result: end.result, delivered });
    }
    lastEnd = end;
    outcome = end.outcome === 'not-run' ? outcome : 'may-have-run';
    const remainingMs = getRemainingMs(context);
    const decision = policy.decideRetry({
      stage,
      end,
      attempts: triedTargets.length,
      remainingMs,
      random,
      tryWithdrawRetry: () => context.retryBudget.tryWithdraw(stage.targetGroup),
    });
    if (decision.kind === 'give-up') {
      return Result.err(toError(end, outcome));
    }
    await timer.sleep({ delayMs: decision.delayMs, signal: context.signal });
  }
}

function buildRequest(
  opts: RunStageOptions,
  attempt: number,
  delivered: DeliveredOutput,
): StageRequest {
  const { context, stage, stageIndex, data } = opts;
  const { call, route } = context;
  return {
    requestId: call.requestId,
    stageIndex,
    attempt,
    targetName: '',
    organisation: call.organisation,
    route: route.name,
    stage: stage.name,
    priority: route.priority,
    remainingMs: getRemainingMs(context),
    idempotent: stage.idempotent,
    runKey: call.runKey,
    bodyDigest: call.bodyDigest,
    input: buildStageInput({ call, stage, data, delivered }),
  };
}

function chooseNextTarget(
  opts: RunStageOptions,
  request: StageRequest,
  triedTargets: readonly string[],
): TargetView | undefined {
  const { context, stage } = opts;
  return context.policy
    .chooseTarget({
      candidates: listCandidates(opts),
      triedTargets,
      stage,
      route: request.route,
      input: request.input,
      priority: request.priority,
      remainingMs: request.remainingMs,
      ownAvailabilityZone: context.ownAvailabilityZone,
      configuration: context.configuration,
      random: context.random,
    })
    .unwrapOr(undefined);
}

/** Targets of the stage's group; during a version move, only those of the version to use. */
function listCandidates({ context, stage }: RunStageOptions): readonly TargetView[] {
  const views = context.directory.listTargets(stage.targetGroup);
  const move = context.configuration.moves.get(stage.targetGroup);
  return move ? context.versions.selectTargets(move, context.route.name, views) : views;
}

function recordAttempt(context: CallContext, request: StageRequest, target: TargetView): void {
  const { report } = target;
  context.record({
    kind: request.attempt === 0 ? 'stage-sent' : 'stage-retried',
    requestId: request.requestId,
    subject: report.name,
    detail: `${request.stage}, attempt ${request.attempt}, ${report.inFlight} of ${report.inFlightLimit} running, ${Math.round(request.remainingMs)} ms left`,
  });
}

function recordEnd(context: CallContext, request: StageRequest, end: StageEnd): void {
  context.record({
    kind: 'stage-ended',
    requestId: request.requestId,
    subject: request.stage,
    detail: `${end.outcome} ${end.code} ${end.detail}, queue ${Math.round(end.queueMs)} ms, run ${Math.round(end.runMs)} ms`,
  });
}

function createStoppedError(stage: StageRule, outcome: Outcome): GalenatillerError {
  return GalenatillerError.create({ name: 'fingerprint-stopped', detail: stage.name, outcome });
}

function createAbortError(context: CallContext, outcome: Outcome): GalenatillerError {
  const name = findAbortCause(context);
  return name === 'stop-limit-exceeded'
    ? createStopError(context, outcome)
    : GalenatillerError.create({ name, detail: `route ${context.route.name}`, outcome });
}

function createStopError(context: CallContext, outcome: Outcome): GalenatillerError {
  const hasNotRun = outcome === 'not-run';
  return GalenatillerError.create({
    name: hasNotRun ? 'stopping' : 'stop-limit-exceeded',
    detail: `route ${context.route.name}`,
    outcome,
    retryAfterMs: hasNotRun ? STOP_RETRY_AFTER_MS : 0,
  });
}

/** Whether the rest of the call is expected to end before a shutdown ends the work. */
function canEndBeforeStop({ context, stageIndex }: RunStageOptions): boolean {
  if (!context.shutdown.hasBegun) {
    return true;
  }
  const decision = context.policy.admitCall({
    stages: context.stages.slice(stageIndex).map((stage) => estimateStage(context, stage)),
    remainingMs: context.shutdown.remainingMs,
  });
  return decision.kind === 'admit';
}

function createNoTargetError(stage: StageRule): GalenatillerError {
  return GalenatillerError.create({
    name: 'no-target',
    detail: `group ${stage.targetGroup}`,
    retryAfterMs: 1_000,
  });
}

function toError(end: StageEnd, outcome: Outcome): GalenatillerError {
  return GalenatillerError.create({
    name: findResultCodeByNumber(end.code).name as ResultCodeName,
    detail: end.detail,
    outcome,
    retryAfterMs: end.retryAfterMs,
  });
}
