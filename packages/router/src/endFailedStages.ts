import { GalenatillerError } from '@galenatiller/error';

import type { AdmittedCall } from './admitCall.js';
import type { CallProgress } from './callProgress.js';
import {
  createStoppedError,
  createStoppingError,
  endDisconnected,
  endWithError,
  type Refused,
} from './endAttempts.js';
import { findReturnMs } from './findPauseWait.js';
import { recordGivenUp } from './heldCalls.js';
import { findStoppedPiece } from './pieceSuspects.js';
import type { CallerExchange } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { TrackedCall } from './routerStop.js';
import type { StagesFailed } from './runStages.js';

/** Options of {@link endFailedStages}. */
export interface FailedStagesOptions {
  readonly context: RouterContext;
  readonly exchange: Pick<CallerExchange, 'call' | 'disconnected'>;
  readonly admitted: AdmittedCall;
  readonly tracked: Pick<TrackedCall, 'signal'>;
  readonly progress: CallProgress;
  /** Fingerprints of the call, that of its content first. */
  readonly fingerprints: readonly string[];
}

/** Time to retry after the stages failed: about the duration of a batch call to a stage worker. */
const STAGES_RETRY_AFTER_MS = 400;

/**
 * Time to retry when the queues are too long, as a share of the time left; callers wait for a third
 * of it at most.
 */
const BUSY_RETRY_AFTER_SHARE = 0.3;

/** Ends a call whose stages failed. */
export function endFailedStages(opts: FailedStagesOptions, failure: StagesFailed): Refused {
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
  const { crashSuspects } = context;
  const [content = ''] = opts.fingerprints;
  const stopped = findStoppedPiece({ crashSuspects, ...admitted, ...opts.exchange, content });
  if (stopped !== undefined) {
    return { kind: 'refused', error: createStoppedError(stopped) };
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
