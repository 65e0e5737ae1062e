import { type TargetChoice, toTargetStart } from '@galenatiller/target';
import type { RegisteredTarget } from '@galenatiller/types';

import { canRunAgain, endBySignal, recordIfCrashed } from './attemptOutcome.js';
import { forwardAttempt, type ForwardAttemptOptions } from './forwardAttempt.js';
import type { CallProgress } from './callProgress.js';
import {
  type AttemptsResult,
  endByStop,
  endDisconnected,
  endStopped,
  endWithError,
} from './endAttempts.js';
import {
  chooseTargetAfterPermit,
  chooseTargetForCall,
  findLimitedTarget,
  type PermittedChoice,
} from './chooseTargetForCall.js';
import { endForPause } from './endForPause.js';
import { findPauseWait } from './findPauseWait.js';
import { findSendOutcome } from './findSendOutcome.js';
import { endTooLate } from './heldCalls.js';
import { countBegunRequest, logAttempt, mayHaveBegun, recordNotice } from './observeAttempt.js';
import type { SendResponse, SendResult } from './ports.js';
import { endWithReplacedStatus, mustReplaceStatus } from './replacedStatus.js';
import type { RouterContext } from './routerContext.js';
import type { RunAttemptsOptions } from './runAttemptsOptions.js';
import { createObservation, observeBroken } from './observeRun.js';

/** Limit of sends for a call, even if earlier ones provably did not run. */
const MAX_SENDS = 6;

/** Delay before targets are checked again when none can accept the call. */
const RECHECK_DELAY_MS = 25;

/** Delay after a refusal when every target has been tried. */
const REFUSED_DELAY_MS = 40;

/** Share of the time left that a call waits for a target; then it is refused with a time to retry. */
const NO_TARGET_WAIT_SHARE = 0.25;

/** Sends a call to one target after another until one responds or no further attempt is allowed. */
export async function runAttempts(opts: RunAttemptsOptions): Promise<AttemptsResult> {
  const { context, admitted, progress, signal } = opts;
  const { timer } = context;
  const startedAtMs = timer.nowMs();
  const stopWaitingAtMs =
    startedAtMs + (admitted.deadlineAtMs - startedAtMs) * NO_TARGET_WAIT_SHARE;
  context.retryBudget.recordRequest(admitted.service);
  while (!signal.aborted) {
    let choice: PermittedChoice = chooseTargetForCall(opts, progress);
    const limited = findLimitedTarget(choice);
    if (limited) {
      const { id: targetId, service, address } = limited;
      const isGranted = await context.obtainPermit({ service, address });
      choice = chooseTargetAfterPermit(opts, progress, { targetId, isGranted });
    }
    // Nothing may wait between the choice and the send: other calls would be chosen a target by the same counts.
    const end = endBeforeSend(opts, progress);
    if (end) {
      return end;
    }
    if (choice.kind !== 'chosen') {
      const waitEnd = endWait(opts, progress, { choice, stopWaitingAtMs });
      if (waitEnd) {
        return waitEnd;
      }
      const endWaiting = context.waiting.increment(admitted.service);
      await timer.sleep({ delayMs: RECHECK_DELAY_MS, signal });
      endWaiting();
      continue;
    }
    if (progress.sends > 0 && !context.retryBudget.tryWithdraw(admitted.service)) {
      const used = context.retryBudget.describe(admitted.service);
      return endWithError(progress, 'overloaded', `the retry budget is exhausted: ${used}`);
    }
    const result = await runAttempt(opts, progress, choice);
    if (result) {
      return result;
    }
    if (progress.sends >= MAX_SENDS) {
      return endWithError(progress, 'overloaded', progress.lastFailure);
    }
  }
  return endBySignal(opts, progress);
}

/** Ends a call that must not be sent to a target any more; undefined for others. */
function endBeforeSend(
  opts: RunAttemptsOptions,
  progress: CallProgress,
): AttemptsResult | undefined {
  opts.tracked.enter('unsent');
  if (opts.exchange.disconnected.aborted && progress.runs === 0) {
    return endDisconnected();
  }
  if (!opts.tracked.check()) {
    return endByStop(progress);
  }
  const stopped = opts.context.crashSuspects.findStopped(opts.fingerprints);
  return stopped === undefined ? endTooLate(opts, progress) : endStopped(progress, stopped);
}

/** Ends a call that no target can be sent now; undefined when it waits for one. */
function endWait(
  opts: RunAttemptsOptions,
  progress: CallProgress,
  wait: { readonly choice: TargetChoice; readonly stopWaitingAtMs: number },
): AttemptsResult | undefined {
  const { context, admitted } = opts;
  const pausedEnd = endForPause(opts, progress);
  if (pausedEnd) {
    return pausedEnd;
  }
  const isWorthWaiting = wait.choice.kind !== 'none' || findPauseWait(opts) !== undefined;
  return isWorthWaiting || context.timer.nowMs() < wait.stopWaitingAtMs
    ? undefined
    : endWithError(progress, 'no-target', `no target of ${admitted.service} accepts calls`);
}

/** Records a send for the limits of its target; one under a permit uses up no share of this node. */
function recordSent(
  { coldRateLimiter, notices }: RouterContext,
  { target, hasPermit }: Extract<PermittedChoice, { kind: 'chosen' }>,
): void {
  if (!hasPermit) {
    coldRateLimiter.recordSent(target.address);
  }
  notices.recordSent(toTargetStart(target));
}

/** Makes one attempt; undefined when another one may follow. */
async function runAttempt(
  opts: RunAttemptsOptions,
  progress: CallProgress,
  choice: Extract<PermittedChoice, { kind: 'chosen' }>,
): Promise<AttemptsResult | undefined> {
  const { context, exchange, admitted, signal } = opts;
  const { target } = choice;
  const sentAtMs = context.timer.nowMs();
  progress.recordSend(target.id);
  opts.tracked.enter('sent');
  recordSent(context, choice);
  const decrement = context.inFlight.increment(target.id);
  const remainingMs = admitted.deadlineAtMs - sentAtMs;
  const observation = createObservation(opts, target);
  try {
    const response = await context.targetClient.sendCall({
      target,
      call: exchange.call,
      body: opts.body,
      organisation: admitted.organisation,
      remainingMs,
      priority: admitted.priority,
      inputs: opts.inputs.map(({ handle }) => handle),
      lastEventId: progress.resumeAfter,
      signal,
    });
    const { notice } = response;
    recordNotice(context, target, notice);
    context.metrics.count({ name: 'router.sends', tags: { send: response.kind } });
    logAttempt({ ...opts, target, reason: choice.reason, response, sentAtMs });
    if (mayHaveBegun(opts, response)) {
      countBegunRequest(opts);
    }
    if (response.kind !== 'answered') {
      if (response.kind === 'broken') {
        observeBroken(opts, observation);
      }
      return await handleFailure(opts, progress, target, response);
    }
    return await handleResponse({ ...opts, target, response, observation, sentAtMs });
  } finally {
    decrement();
  }
}

/** Forwards a response, unless the call is sent to another target or its status must not reach the caller. */
async function handleResponse(opts: ForwardAttemptOptions): Promise<AttemptsResult | undefined> {
  const { context, admitted, progress, target, response, observation, sentAtMs } = opts;
  const nowMs = context.timer.nowMs();
  const durationMs = nowMs - sentAtMs;
  context.responseTimes.observe({ name: admitted.service, durationMs, nowMs });
  const isReplaced = mustReplaceStatus(opts, response);
  const isFailed = isReplaced || response.status >= 500;
  if (!response.notice?.pause) {
    context.health.record({ targetId: target.id, result: isFailed ? 'failed' : 'good' });
  }
  progress.recordRun();
  if (isReplaced) {
    observation.end({ isFailed });
    return endWithReplacedStatus(opts, progress, response);
  }
  if (isFailed && canRunAgain(opts, progress)) {
    response.discard();
    observation.end({ isFailed });
    progress.recordFailure(`the target responded with status ${response.status}`);
    return undefined;
  }
  return forwardAttempt(opts);
}

async function handleFailure(
  opts: RunAttemptsOptions,
  progress: CallProgress,
  target: RegisteredTarget,
  response: Exclude<SendResult, SendResponse>,
): Promise<AttemptsResult | undefined> {
  const { context, signal } = opts;
  progress.recordFailure(`${response.kind}: ${response.detail}`);
  if (signal.aborted && response.kind !== 'inputs-gone') {
    if (findSendOutcome(response) === 'may-have-run') {
      progress.recordRun();
    }
    return endBySignal(opts, progress);
  }
  switch (response.kind) {
    case 'inputs-gone':
      return { kind: 'inputs-gone' };
    case 'refused':
    case 'moved':
      await context.timer.sleep({ delayMs: computeRefusalDelayMs(opts, progress), signal });
      return undefined;
    case 'unsent':
      context.health.record({ targetId: target.id, result: 'unreachable' });
      return undefined;
    case 'broken':
    case 'foreign':
      context.health.record({ targetId: target.id, result: 'failed' });
      progress.recordRun();
      await recordIfCrashed(opts, target);
      return canRunAgain(opts, progress)
        ? undefined
        : endWithError(progress, 'target-failed', progress.lastFailure);
  }
}

/** Delay after a refusal; 0 while there is a target that was not tried yet. */
function computeRefusalDelayMs(opts: RunAttemptsOptions, progress: CallProgress): number {
  const { context, admitted } = opts;
  const usable = context.targets.findUsable(admitted.service);
  return usable.every(({ id }) => progress.tried.has(id)) ? REFUSED_DELAY_MS : 0;
}
