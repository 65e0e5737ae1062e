import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';
import type { TargetChoice } from '@galenatiller/target';
import type { RegisteredTarget } from '@galenatiller/types';

import type { AdmittedCall } from './admitCall.js';
import { type ForwardResult, forwardResponse } from './forwardResponse.js';
import { CallProgress } from './callProgress.js';
import { chooseTargetForCall } from './chooseTargetForCall.js';
import type { SendResponse, CallerExchange, SendResult } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { StageResult } from './runStages.js';

/** Options of {@link runAttempts}. */
export interface RunAttemptsOptions {
  readonly context: RouterContext;
  readonly exchange: CallerExchange;
  readonly admitted: AdmittedCall;
  readonly body: Buffer;
  readonly inputs: readonly StageResult[];
  /** Aborts at the deadline, and when the caller has gone from a call that may be broken off. */
  readonly signal: AbortSignal;
  /** Told once the target has taken over the inputs. */
  readonly onInputsConsumed: () => void;
}

/** How the attempts of a call ended. `inputs-gone`: not run, and the stages have to be done again. */
export type AttemptsResult =
  | { readonly kind: 'answered'; readonly status: number; readonly target: string }
  | { readonly kind: 'cut'; readonly detail: string }
  | { readonly kind: 'refused'; readonly error: GalenatillerError }
  | { readonly kind: 'inputs-gone' };

/** Sends that a call may have in all, whatever proves that earlier ones did not run. */
const MOST_SENDS = 6;

/** Pause before targets are looked at again when none may take the call. */
const RECHECK_MS = 25;

/** Pause after a target refused and every other one was tried. */
const REFUSED_PAUSE_MS = 40;

/** A call waits for a target to come back for this share of its time, then hears when to return. */
const NO_TARGET_WAIT_SHARE = 0.25;

/** Time to come back after a refusal: a worker that crashed is listed again after seconds. */
const RETRY_AFTER_MS = 400;

/** Sends a call to one target after another until one answers or no more may be tried. */
export async function runAttempts(opts: RunAttemptsOptions): Promise<AttemptsResult> {
  const { context, exchange, admitted, signal } = opts;
  const { timer } = context;
  const progress = CallProgress.create({ lastEventId: exchange.call.lastEventId });
  const startedAtMs = timer.nowMs();
  const waitUntilMs = startedAtMs + (admitted.deadlineAtMs - startedAtMs) * NO_TARGET_WAIT_SHARE;
  context.repeats.recordRequest(admitted.service);
  while (!signal.aborted) {
    const choice = chooseTargetForCall(opts, progress);
    if (choice.kind !== 'chosen') {
      if (choice.kind === 'none' && timer.nowMs() >= waitUntilMs) {
        return endWithout(progress, 'no-target', `no target of ${admitted.service} takes work`);
      }
      await timer.sleep({ delayMs: RECHECK_MS, signal });
      continue;
    }
    if (progress.sends > 0 && !context.repeats.tryWithdraw(admitted.service)) {
      return endWithout(progress, 'overloaded', 'the budget for repeats is spent');
    }
    const ended = await runAttempt(opts, progress, choice);
    if (ended) {
      return ended;
    }
    if (progress.sends >= MOST_SENDS) {
      return endWithout(progress, 'overloaded', progress.lastFailure);
    }
  }
  return endAtAbort(opts, progress);
}

/** One attempt; undefined when another one may follow. */
async function runAttempt(
  opts: RunAttemptsOptions,
  progress: CallProgress,
  choice: Extract<TargetChoice, { kind: 'chosen' }>,
): Promise<AttemptsResult | undefined> {
  const { context, exchange, admitted, signal } = opts;
  const { timer, health, log } = context;
  const { target } = choice;
  const sentAtMs = timer.nowMs();
  progress.recordSend(target.id);
  context.coldShare.recordSent(target.address);
  const leave = context.inFlight.increment(target.id);
  const remainingMs = admitted.deadlineAtMs - sentAtMs;
  try {
    const reply = await context.targetClient.sendCall({
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
    context.metrics.count({ name: 'router.sends', tags: { send: reply.kind } });
    log({
      about: 'decision',
      event: 'attempt',
      requestId: exchange.call.requestId,
      target: target.id,
      reason: choice.reason,
      attempt: progress.sends,
      inFlight: context.inFlight.count(target.id),
      remainingMs: Math.round(remainingMs),
      tookMs: Math.round(timer.nowMs() - sentAtMs),
      configuration: admitted.configurationVersion,
      outcome: reply.kind === 'answered' ? String(reply.status) : `${reply.kind}: ${reply.detail}`,
    });
    if (reply.kind !== 'answered') {
      return await afterFailure(opts, progress, target, reply);
    }
    const nowMs = timer.nowMs();
    context.responseTimes.observe({ name: admitted.service, durationMs: nowMs - sentAtMs, nowMs });
    const isServerError = reply.status >= 500;
    health.record({ targetId: target.id, result: isServerError ? 'failed' : 'good' });
    progress.recordRun();
    if (isServerError && mayRunAgain(opts, progress)) {
      reply.discard();
      progress.recordFailure(`the target answered ${reply.status}`);
      return undefined;
    }
    return await pass(opts, progress, target, reply);
  } finally {
    leave();
  }
}

async function pass(
  opts: RunAttemptsOptions,
  progress: CallProgress,
  target: RegisteredTarget,
  reply: SendResponse,
): Promise<AttemptsResult | undefined> {
  const { exchange, admitted, context } = opts;
  const passed: ForwardResult = await forwardResponse({
    exchange,
    response: reply,
    isStream: admitted.route.callKind === 'stream' && reply.status === 200,
    hasBegun: progress.hasBegun,
    resumeAfter: progress.resumeAfter,
    onFirstEvent: opts.onInputsConsumed,
  });
  progress.recordForwarded(passed);
  if (passed.kind === 'whole') {
    return { kind: 'answered', status: reply.status, target: target.id };
  }
  progress.recordFailure(passed.detail);
  if (!opts.signal.aborted && !exchange.disconnected.aborted) {
    context.health.record({ targetId: target.id, result: 'failed' });
    if (mayRunAgain(opts, progress)) {
      context.log({
        about: 'decision',
        event: 'answer-broke-off',
        requestId: exchange.call.requestId,
        target: target.id,
        resumeAfter: progress.resumeAfter,
        outcome: `sent to another target: ${passed.detail}`,
      });
      return undefined;
    }
  }
  if (progress.hasBegun) {
    exchange.abort();
    return { kind: 'cut', detail: passed.detail };
  }
  return opts.signal.aborted
    ? endAtAbort(opts, progress)
    : endWithout(progress, 'target-failed', passed.detail);
}

async function afterFailure(
  opts: RunAttemptsOptions,
  progress: CallProgress,
  target: RegisteredTarget,
  reply: Exclude<SendResult, SendResponse>,
): Promise<AttemptsResult | undefined> {
  const { context, signal } = opts;
  progress.recordFailure(`${reply.kind}: ${reply.detail}`);
  if (signal.aborted && reply.kind !== 'inputs-gone') {
    if (reply.kind === 'broken' || reply.kind === 'foreign') {
      progress.recordRun();
    }
    return endAtAbort(opts, progress);
  }
  switch (reply.kind) {
    case 'inputs-gone':
      return { kind: 'inputs-gone' };
    case 'refused':
    case 'moved':
      await context.timer.sleep({ delayMs: pauseAfterRefusal(opts, progress), signal });
      return undefined;
    case 'unsent':
      context.health.record({ targetId: target.id, result: 'unreachable' });
      return undefined;
    case 'broken':
    case 'foreign':
      context.health.record({ targetId: target.id, result: 'failed' });
      progress.recordRun();
      return mayRunAgain(opts, progress)
        ? undefined
        : endWithout(progress, 'target-failed', progress.lastFailure);
  }
}

/** No pause while a target is left that was not tried yet. */
function pauseAfterRefusal(opts: RunAttemptsOptions, progress: CallProgress): number {
  const { context, admitted } = opts;
  const usable = context.targets.findUsable(admitted.service);
  return usable.every(({ id }) => progress.tried.has(id)) ? REFUSED_PAUSE_MS : 0;
}

/** Whether a call that may have run may be sent to one more target. */
function mayRunAgain(opts: RunAttemptsOptions, progress: CallProgress): boolean {
  const { route } = opts.admitted;
  const isRepeatable =
    route.callKind === 'idempotent' || (route.callKind === 'stream' && route.isResumable);
  return isRepeatable && progress.runs < route.maxAttempts;
}

/** The signal aborted: the deadline has passed, or the caller has gone. */
function endAtAbort(opts: RunAttemptsOptions, progress: CallProgress): AttemptsResult {
  if (progress.hasBegun) {
    opts.exchange.abort();
    return { kind: 'cut', detail: 'the deadline passed in the middle of the stream' };
  }
  return endWithout(
    progress,
    'deadline-exceeded',
    progress.lastFailure || 'no target was free in time',
  );
}

/** Ends without an answer: `not-run` only if no send can have run. */
function endWithout(progress: CallProgress, name: ResultCodeName, detail: string): AttemptsResult {
  if (progress.runs > 0) {
    const codeName = name === 'deadline-exceeded' ? name : 'target-failed';
    const error = GalenatillerError.create({ name: codeName, detail, outcome: 'may-have-run' });
    return { kind: 'refused', error };
  }
  const codeName =
    name === 'target-failed' || name === 'deadline-exceeded' ? 'deadline-unreachable' : name;
  return {
    kind: 'refused',
    error: GalenatillerError.create({
      name: codeName,
      detail,
      outcome: 'not-run',
      retryAfterMs: RETRY_AFTER_MS,
    }),
  };
}
