/** Forwards the response of one attempt, and decides what follows if it breaks off. */
import type { RegisteredTarget } from '@galenatiller/types';

import { canRunAgain, endBySignal, recordIfCrashed } from './attemptOutcome.js';
import { getSharedFingerprints } from './computeFingerprints.js';
import { type AttemptsResult, endWithError } from './endAttempts.js';
import { forwardResponse, type ForwardResult } from './forwardResponse.js';
import {
  countBegunStream,
  isStream,
  logAnswerEnd,
  logBrokenResponse,
  recordWholeResponse,
} from './observeAttempt.js';
import { observeBroken } from './observeRun.js';
import type { SendResponse } from './ports.js';
import type { RunAttemptsOptions } from './runAttemptsOptions.js';
import type { RunObservation } from './runObservation.js';

/**
 * A stream that goes on for this long shows that the parts of its prompt crash no target; streams of
 * calls that share a part may take longer than targets live that another call crashes.
 */
const PROOF_INTERVAL_MS = 2_000;

/** Options of {@link forwardAttempt}. */
export interface ForwardAttemptOptions extends RunAttemptsOptions {
  readonly target: RegisteredTarget;
  readonly response: SendResponse;
  readonly observation: RunObservation;
  readonly sentAtMs: number;
}

/** Forwards a response; undefined when another attempt may follow. */
export async function forwardAttempt(
  opts: ForwardAttemptOptions,
): Promise<AttemptsResult | undefined> {
  const { context, exchange, progress, response, observation, target, signal } = opts;
  const headAtMs = context.timer.nowMs();
  const forwarded = await forwardResponse({
    exchange,
    response,
    signal,
    bodyMemory: context.bodyMemory,
    findSender: () => context.senderChecks.check({ target, signal, limitMs: computeCheckMs(opts) }),
    isStream: isStream(opts, response),
    hasStarted: progress.hasStarted,
    resumeAfter: progress.resumeAfter,
    tail: progress.tail,
    onData: createDataObserver(opts),
  });
  logAnswerEnd({ ...opts, forwarded, headAtMs });
  progress.recordForwarded(forwarded);
  // A stream that ended before its first event may have begun.
  countBegunStream(opts, response);
  if (forwarded.kind === 'interrupted') {
    observeBroken(opts, observation);
    return endInterrupted(opts, forwarded);
  }
  observation.end({ isFailed: response.status >= 500 });
  recordWholeResponse(opts);
  if (response.status < 500) {
    // A target may crash after the first data of its response, so only a whole one shows that it won't.
    context.crashSuspects.recordSound(opts.fingerprints);
  }
  return { kind: 'answered', status: response.status, target: target.id };
}

/** Time to find out whether a sender runs; enough is left to go on at another target. */
function computeCheckMs({ context, admitted }: ForwardAttemptOptions): number {
  return (admitted.deadlineAtMs - context.timer.nowMs()) / 2;
}

/** Creates the observer of the data of a response, which is called with the number of new events. */
function createDataObserver(opts: ForwardAttemptOptions): (events: number) => void {
  const { context } = opts;
  let provedAtMs: number | undefined;
  return (events) => {
    opts.onInputsConsumed();
    opts.tracked.enter('streaming');
    opts.observation.addEvents(events);
    countBegunStream(opts, opts.response);
    const nowMs = context.timer.nowMs();
    provedAtMs ??= nowMs;
    if (nowMs - provedAtMs >= PROOF_INTERVAL_MS) {
      provedAtMs = nowMs;
      context.crashSuspects.recordSound(getSharedFingerprints(opts.fingerprints));
    }
  };
}

/** Ends the attempt of a response that broke off; undefined when another one may follow. */
async function endInterrupted(
  opts: ForwardAttemptOptions,
  { detail }: Extract<ForwardResult, { kind: 'interrupted' }>,
): Promise<AttemptsResult | undefined> {
  const { context, exchange, progress, signal, target } = opts;
  progress.recordFailure(detail);
  if (!signal.aborted && !exchange.disconnected.aborted) {
    context.health.record({ targetId: target.id, result: 'failed' });
    await recordIfCrashed(opts, target);
    if (canRunAgain(opts, progress)) {
      logBrokenResponse(opts);
      return undefined;
    }
  }
  return signal.aborted
    ? endBySignal(opts, progress)
    : endWithError(progress, 'target-failed', detail);
}
