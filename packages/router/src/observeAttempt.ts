/** Log lines and measurements of the attempts of a call. */
import { toTargetStart } from '@galenatiller/target';
import type { RegisteredTarget, TargetNotice } from '@galenatiller/types';

import type { AdmittedCall } from './admitCall.js';
import type { CallProgress } from './callProgress.js';
import { findSendOutcome } from './findSendOutcome.js';
import type { ForwardResult } from './forwardResponse.js';
import type { CallerExchange, SendResponse, SendResult } from './ports.js';
import type { RouterContext } from './routerContext.js';

/** An attempt to send a call to a target. */
export interface ObservedAttempt {
  readonly context: Pick<
    RouterContext,
    'timer' | 'log' | 'metrics' | 'inFlight' | 'wholeResponseTimes'
  >;
  readonly exchange: Pick<CallerExchange, 'call' | 'disconnected'>;
  readonly admitted: AdmittedCall;
  readonly progress: CallProgress;
  readonly target: RegisteredTarget;
}

/** Logs how a send ended, or that its response has started. */
export function logAttempt(
  opts: ObservedAttempt & {
    readonly reason: string;
    readonly response: SendResult;
    readonly sentAtMs: number;
  },
): void {
  const { context, exchange, admitted, progress, target, response, sentAtMs } = opts;
  context.log({
    about: 'decision',
    event: 'attempt',
    requestId: exchange.call.requestId,
    target: target.id,
    reason: opts.reason,
    attempt: progress.sends,
    inFlight: context.inFlight.count(target.id),
    remainingMs: Math.round(admitted.deadlineAtMs - sentAtMs),
    tookMs: Math.round(context.timer.nowMs() - sentAtMs),
    configuration: admitted.configurationVersion,
    callerGone: exchange.disconnected.aborted,
    framing: response.kind === 'answered' ? response.bodyEnd : undefined,
    outcome:
      response.kind === 'answered'
        ? String(response.status)
        : `${response.kind}: ${response.detail}`,
  });
}

/**
 * Counts the request of an organisation when an attempt shows for the first time that a target began to
 * run it, or may have begun: at the answer, at the first event of a stream, or when the answer was lost.
 */
export function countBegunRequest(opts: {
  readonly context: Pick<RouterContext, 'countRequest'>;
  readonly admitted: Pick<AdmittedCall, 'organisation'>;
  readonly progress: Pick<CallProgress, 'recordBegin'>;
}): void {
  const { organisation } = opts.admitted;
  if (organisation !== '' && opts.progress.recordBegin()) {
    opts.context.countRequest(organisation);
  }
}

/** Counts the request of a stream at its first event, or at its end without one. */
export function countBegunStream(
  opts: Parameters<typeof countBegunRequest>[0] & {
    readonly admitted: Pick<AdmittedCall, 'route'>;
  },
  response: SendResponse,
): void {
  if (isStream(opts, response)) {
    countBegunRequest(opts);
  }
}

/** Whether the end of a send shows that the target began to run the call, or that it may have. */
export function mayHaveBegun(
  opts: { readonly admitted: Pick<AdmittedCall, 'route'> },
  response: SendResult,
): boolean {
  const isBegunLater = response.kind === 'answered' && isStream(opts, response);
  return !isBegunLater && findSendOutcome(response) === 'may-have-run';
}

/** Whether a response is the stream that its route asks for. */
export function isStream(
  { admitted }: { readonly admitted: Pick<AdmittedCall, 'route'> },
  response: Pick<SendResponse, 'status'>,
): boolean {
  return admitted.route.callKind === 'stream' && response.status === 200;
}

/** Logs how a body ended that was not completed by its framing. */
export function logAnswerEnd(
  opts: Pick<ObservedAttempt, 'context' | 'exchange' | 'target'> & {
    readonly response: SendResponse;
    readonly forwarded: ForwardResult;
    /** Time at which the head of the response had come. */
    readonly headAtMs: number;
  },
): void {
  const { context, exchange, target, response, forwarded } = opts;
  const { bodyEnd: framing } = response;
  if (framing === 'close') {
    const tags = { sender: forwarded.body.sender };
    context.metrics.count({ name: 'router.answers_without_framing', tags });
  }
  if (framing !== 'close' && forwarded.kind === 'complete') {
    return;
  }
  context.log({
    about: 'decision',
    event: 'answer-ended',
    requestId: exchange.call.requestId,
    target: target.id,
    framing,
    ...forwarded.body,
    tookMs: Math.round(context.timer.nowMs() - opts.headAtMs),
    outcome: forwarded.kind === 'complete' ? 'complete' : `broken off: ${forwarded.detail}`,
  });
}

/** Logs a response that broke off, before the call is sent to another target. */
export function logBrokenResponse(opts: ObservedAttempt): void {
  const { context, exchange, progress, target } = opts;
  context.log({
    about: 'decision',
    event: 'answer-broke-off',
    requestId: exchange.call.requestId,
    target: target.id,
    resumeAfter: progress.resumeAfter,
    outcome: `sent to another target: ${progress.lastFailure}`,
  });
}

/** Records the time of a response that is complete. */
export function recordWholeResponse(
  opts: Pick<ObservedAttempt, 'context' | 'admitted'> & { readonly sentAtMs: number },
): void {
  const { timer, wholeResponseTimes } = opts.context;
  const nowMs = timer.nowMs();
  const { name } = opts.admitted.route;
  wholeResponseTimes.observe({ name, durationMs: nowMs - opts.sentAtMs, nowMs });
}

/** Records what an answer says about its target. */
export function recordNotice(
  { notices, loads, inFlight }: RouterContext,
  target: RegisteredTarget,
  notice: TargetNotice | undefined,
): void {
  const start = toTargetStart(target);
  notices.record({ target: start, notice, source: 'call' });
  loads.record({ target: start, load: notice?.load, ownRequests: inFlight.count(target.id) });
}
