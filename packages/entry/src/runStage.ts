import { computeFingerprint } from '@galenatiller/engine';
import {
  findResultCodeByNumber,
  GalenatillerError,
  type ResultCodeName,
} from '@galenatiller/error';
import type { Outcome, StageEnd, StageRequest, StageResult, StageRule } from '@galenatiller/types';
import { Result } from 'true-myth';

import type { CallContext } from './callContext.js';
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

/** A stage that ran to its end. */
export interface StageSuccess {
  readonly result: StageResult;
  readonly delivered: DeliveredOutput;
}

/** Runs one stage: attempts on one target after another until one ends whole. */
export async function runStage(
  opts: RunStageOptions,
): Promise<Result<StageSuccess, GalenatillerError>> {
  const { context, stage } = opts;
  const { policy, timer, random } = context;
  const used: string[] = [];
  let delivered: DeliveredOutput = { text: '', tokens: 0 };
  let proved: Outcome = 'not-run';
  let last: StageEnd | undefined;
  context.retryBudget.deposit(stage.targetGroup);

  for (;;) {
    if (context.signal.aborted) {
      return Result.err(endedEarly(context, proved));
    }
    const order = buildOrder(opts, used.length, delivered);
    if (context.crashes.findStatus(computeFingerprint(order)) === 'stopped') {
      return Result.err(stoppedContent(stage, proved));
    }
    const chosen = choose(opts, order, used);
    if (!chosen) {
      return Result.err(last ? errorOfEnd(last, proved) : noTarget(stage));
    }
    used.push(chosen.report.name);
    recordAttempt(context, order, chosen);
    const attempt = await runAttempt({
      context,
      gateName: chosen.gateName,
      request: { ...order, targetName: chosen.report.name },
      delivered,
    });
    delivered = attempt.delivered;
    const { end } = attempt;
    recordEnd(context, order, end);
    observeVersion(opts, chosen, order, end);
    if (end.code === 0 && end.result) {
      const { runMs } = end;
      context.stageTimes.observe({ name: stage.name, durationMs: runMs, nowMs: timer.nowMs() });
      return Result.ok({ result: end.result, delivered });
    }
    last = end;
    proved = end.outcome === 'not-run' ? proved : 'may-have-run';
    const remainingMs = context.deadlineAtMs - timer.nowMs();
    const decision = policy.decideRetry({
      stage,
      end,
      attempts: used.length,
      remainingMs,
      random,
      tryWithdrawRetry: () => context.retryBudget.tryWithdraw(stage.targetGroup),
    });
    if (decision.kind === 'give-up') {
      return Result.err(errorOfEnd(end, proved));
    }
    await timer.sleep({ delayMs: decision.delayMs, signal: context.signal });
  }
}

function buildOrder(
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
    remainingMs: context.deadlineAtMs - context.timer.nowMs(),
    idempotent: stage.idempotent,
    runKey: call.runKey,
    bodyDigest: call.bodyDigest,
    input: buildStageInput({ call, stage, data, delivered }),
  };
}

function choose(
  opts: RunStageOptions,
  order: StageRequest,
  used: readonly string[],
): TargetView | undefined {
  const { context, stage } = opts;
  return context.policy
    .chooseTarget({
      candidates: listCandidates(opts),
      triedTargets: used,
      stage,
      route: order.route,
      input: order.input,
      priority: order.priority,
      remainingMs: order.remainingMs,
      ownAvailabilityZone: context.ownAvailabilityZone,
      configuration: context.configuration,
      random: context.random,
    })
    .unwrapOr(undefined);
}

/** Targets of the group; of a group that moves, those of the version that is to run. */
function listCandidates({ context, stage }: RunStageOptions): readonly TargetView[] {
  const views = context.directory.listTargets(stage.targetGroup);
  const move = context.configuration.moves.get(stage.targetGroup);
  return move ? context.versions.selectTargets(move, context.route.name, views) : views;
}

function observeVersion(
  { context, stage }: RunStageOptions,
  chosen: TargetView,
  order: StageRequest,
  end: StageEnd,
): void {
  const move = context.configuration.moves.get(stage.targetGroup);
  const { name } = findResultCodeByNumber(end.code);
  if (!move || end.outcome === 'not-run' || name === 'cancelled' || name === 'link-lost') {
    return;
  }
  context.versions.observe({
    move,
    route: context.route.name,
    targetVersion: chosen.report.version,
    failed: end.code !== 0,
    runMs: end.runMs / Math.max(1, tokensToRun(order)),
  });
}

function tokensToRun({ input }: StageRequest): number {
  return input.kind === 'generate' ? input.maxTokens - input.deliveredTokens : 1;
}

function recordAttempt(context: CallContext, order: StageRequest, chosen: TargetView): void {
  const { report } = chosen;
  context.record({
    kind: order.attempt === 0 ? 'stage-sent' : 'stage-retried',
    requestId: order.requestId,
    subject: report.name,
    detail: `${order.stage}, attempt ${order.attempt}, ${report.inFlight} of ${report.inFlightLimit} running, ${Math.round(order.remainingMs)} ms left`,
  });
}

function recordEnd(context: CallContext, order: StageRequest, end: StageEnd): void {
  context.record({
    kind: 'stage-ended',
    requestId: order.requestId,
    subject: order.stage,
    detail: `${end.outcome} ${end.code} ${end.detail}, queue ${Math.round(end.queueMs)} ms, run ${Math.round(end.runMs)} ms`,
  });
}

function stoppedContent(stage: StageRule, outcome: Outcome): GalenatillerError {
  return GalenatillerError.create({ name: 'fingerprint-stopped', detail: stage.name, outcome });
}

function endedEarly(context: CallContext, outcome: Outcome): GalenatillerError {
  const name = context.call.signal.aborted ? 'cancelled' : 'deadline-exceeded';
  return GalenatillerError.create({ name, detail: `route ${context.route.name}`, outcome });
}

function noTarget(stage: StageRule): GalenatillerError {
  return GalenatillerError.create({
    name: 'no-target',
    detail: `group ${stage.targetGroup}`,
    retryAfterMs: 1_000,
  });
}

function errorOfEnd(end: StageEnd, outcome: Outcome): GalenatillerError {
  return GalenatillerError.create({
    name: findResultCodeByNumber(end.code).name as ResultCodeName,
    detail: end.detail,
    outcome,
    retryAfterMs: end.retryAfterMs,
  });
}
