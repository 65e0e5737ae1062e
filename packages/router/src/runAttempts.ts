import { getStartKey, type TargetChoice, toTargetStart } from '@galenatiller/target';
import type { RegisteredTarget } from '@galenatiller/types';

import type { AdmittedCall } from './admitCall.js';
import { forwardResponse, type ForwardResult } from './forwardResponse.js';
import type { CallProgress } from './callProgress.js';
import {
  type AttemptsResult,
  endAborted,
  endByStop,
  endDisconnected,
  endStopped,
  endWithError,
  type Refused,
} from './endAttempts.js';
import { getSharedFingerprints } from './computeFingerprints.js';
import { chooseTargetWithPermit, type PermittedChoice } from './chooseTargetForCall.js';
import { endForPause } from './endForPause.js';
import { findPauseWait } from './findPauseWait.js';
import { endTooLate } from './heldCalls.js';
import {
  countBegunRequest,
  countBegunStream,
  isStream,
  logAttempt,
  logBrokenResponse,
  mayHaveBegun,
  recordNotice,
  recordWholeResponse,
} from './observeAttempt.js';
import type { CallerExchange, SendResponse, SendResult } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { TrackedCall } from './routerStop.js';
import { createObservation, observeBroken } from './observeRun.js';
import type { RunObservation } from './runObservation.js';
import type { StageResultHandle } from './runStages.js';

/** Options of {@link runAttempts}. */
export interface RunAttemptsOptions {
  readonly context: RouterContext;
  readonly exchange: CallerExchange;
  readonly admitted: AdmittedCall;
  readonly tracked: TrackedCall;
  /** Fingerprints of the call and of the parts of its prompt. */
  readonly fingerprints: readonly string[];
  readonly body: Buffer;
  readonly inputs: readonly StageResultHandle[];
  /** Progress of the call, which goes on when its stages are run again. */
  readonly progress: CallProgress;
  /** Aborts at the deadline, and when the caller disconnects from a call that may be cancelled. */
  readonly signal: AbortSignal;
  /** Called, possibly more than once, when response data shows that the inputs have been fetched. */
  readonly onInputsConsumed: () => void;
}

/** Limit of sends for a call, even if earlier ones provably did not run. */
const MAX_SENDS = 6;

/** Delay before targets are checked again when none can accept the call. */
const RECHECK_DELAY_MS = 25;

/** Delay after a refusal when every target has been tried. */
const REFUSED_DELAY_MS = 40;

/** Share of the time left that a call waits for a target; then it is refused with a time to retry. */
const NO_TARGET_WAIT_SHARE = 0.25;

/**
 * A stream that goes on for this long shows that the parts of its prompt crash no target; streams of
 * calls that share a part may take longer than targets live that another call crashes.
 */
const PROOF_INTERVAL_MS = 2_000;

/** Sends a call to one target after another until one responds or no further attempt is allowed. */
export async function runAttempts(opts: RunAttemptsOptions): Promise<AttemptsResult> {
  const { context, admitted, progress, signal } = opts;
  const { timer } = context;
  const startedAtMs = timer.nowMs();
  const stopWaitingAtMs =
    startedAtMs + (admitted.deadlineAtMs - startedAtMs) * NO_TARGET_WAIT_SHARE;
  context.retryBudget.recordRequest(admitted.service);
  while (!signal.aborted) {
    const choice = await chooseTargetWithPermit(opts, progress);
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
      return endWithError(progress, 'overloaded', 'the retry budget is exhausted');
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

/** Ends a call whose signal has aborted. */
function endBySignal(opts: RunAttemptsOptions, progress: CallProgress): Refused {
  const end = opts.tracked.signal.aborted ? endByStop : endAborted;
  return end(progress);
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
  const { timer, health } = context;
  const { target } = choice;
  const sentAtMs = timer.nowMs();
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
    const nowMs = timer.nowMs();
    context.responseTimes.observe({ name: admitted.service, durationMs: nowMs - sentAtMs, nowMs });
    const isServerError = response.status >= 500;
    if (!notice?.pause) {
      health.record({ targetId: target.id, result: isServerError ? 'failed' : 'good' });
    }
    progress.recordRun();
    if (isServerError && canRunAgain(opts, progress)) {
      response.discard();
      observation.end({ isFailed: true });
      progress.recordFailure(`the target responded with status ${response.status}`);
      return undefined;
    }
    return await forward({ ...opts, observation, sentAtMs }, progress, target, response);
  } finally {
    decrement();
  }
}

async function forward(
  opts: RunAttemptsOptions & {
    readonly observation: RunObservation;
    readonly sentAtMs: number;
  },
  progress: CallProgress,
  target: RegisteredTarget,
  response: SendResponse,
): Promise<AttemptsResult | undefined> {
  const { exchange, context, observation } = opts;
  let provedAtMs: number | undefined;
  const forwarded: ForwardResult = await forwardResponse({
    exchange,
    response,
    signal: opts.signal,
    bodyMemory: context.bodyMemory,
    hasTargetCrashed: () => context.crashDetector.hasCrashed(target),
    isStream: isStream(opts, response),
    hasStarted: progress.hasStarted,
    resumeAfter: progress.resumeAfter,
    onData: (events) => {
      opts.onInputsConsumed();
      opts.tracked.enter('streaming');
      observation.addEvents(events);
      countBegunStream(opts, response);
      const nowMs = context.timer.nowMs();
      provedAtMs ??= nowMs;
      if (nowMs - provedAtMs >= PROOF_INTERVAL_MS) {
        provedAtMs = nowMs;
        context.crashSuspects.recordSound(getSharedFingerprints(opts.fingerprints));
      }
    },
  });
  progress.recordForwarded(forwarded);
  // A stream that ended before its first event may have begun.
  countBegunStream(opts, response);
  if (forwarded.kind === 'interrupted') {
    observeBroken(opts, observation);
  } else {
    observation.end({ isFailed: response.status >= 500 });
  }
  if (forwarded.kind === 'complete') {
    recordWholeResponse(opts);
    if (response.status < 500) {
      // A target may crash after the first data of its response, so only a whole one shows that it won't.
      context.crashSuspects.recordSound(opts.fingerprints);
    }
    return { kind: 'answered', status: response.status, target: target.id };
  }
  progress.recordFailure(forwarded.detail);
  if (!opts.signal.aborted && !exchange.disconnected.aborted) {
    context.health.record({ targetId: target.id, result: 'failed' });
    await recordIfCrashed(opts, target);
    if (canRunAgain(opts, progress)) {
      logBrokenResponse({ ...opts, target });
      return undefined;
    }
  }
  return opts.signal.aborted
    ? endBySignal(opts, progress)
    : endWithError(progress, 'target-failed', forwarded.detail);
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
    if (response.kind === 'broken' || response.kind === 'foreign') {
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

/** Records that a target crashed while it ran a call, if its process is gone. */
async function recordIfCrashed(opts: RunAttemptsOptions, target: RegisteredTarget): Promise<void> {
  const { crashDetector, crashSuspects } = opts.context;
  if (await crashDetector.hasCrashed(target)) {
    const { fingerprints } = opts;
    crashSuspects.recordCrash({ targetStart: getStartKey(target), fingerprints });
  }
}

/** Delay after a refusal; 0 while there is a target that was not tried yet. */
function computeRefusalDelayMs(opts: RunAttemptsOptions, progress: CallProgress): number {
  const { context, admitted } = opts;
  const usable = context.targets.findUsable(admitted.service);
  return usable.every(({ id }) => progress.tried.has(id)) ? REFUSED_DELAY_MS : 0;
}

/** Whether a call that may have run already may be sent to another target. */
function canRunAgain(opts: RunAttemptsOptions, progress: CallProgress): boolean {
  const { route } = opts.admitted;
  const isRetryable =
    route.callKind === 'idempotent' || (route.callKind === 'stream' && route.isResumable);
  return isRetryable && progress.runs < route.maxAttempts;
}
