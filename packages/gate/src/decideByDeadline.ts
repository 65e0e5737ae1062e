import type { AdmissionDecision, DecideAdmissionOptions } from './queuePolicy.js';

/**
 * Refuses a request that would miss its deadline if the requests ahead of it run as expected. The
 * safety margin applies only to requests that have to wait: on an idle slot, a run is worth trying.
 */
export function decideByDeadline(opts: DecideAdmissionOptions): AdmissionDecision {
  const waitMs = estimateWaitMs(opts);
  const budgetMs = opts.deadlineAtMs - opts.nowMs;
  const safetyMarginMs = waitMs > 0 ? opts.safetyMarginMs : 0;
  const lateMs = waitMs + opts.expectedRunMs + safetyMarginMs - budgetMs;
  if (lateMs <= 0) {
    return { kind: 'admit', waitMs };
  }
  // A run that exceeds its budget on its own would not fit after a shorter wait either.
  const fitsWithoutWait = opts.expectedRunMs <= budgetMs;
  return { kind: 'refuse', retryAfterMs: fitsWithoutWait ? Math.ceil(lateMs) : 0 };
}

/** Estimates the time until a slot is free when each request ahead takes the first free slot. */
function estimateWaitMs(opts: DecideAdmissionOptions): number {
  const limit = Math.max(1, opts.inFlightLimit);
  const remaining = opts.inFlightRemainingMs.map((remainingMs) => Math.max(0, remainingMs));
  const idle = Array.from({ length: Math.max(0, limit - remaining.length) }, () => 0);
  const freeAtMs = [...idle, ...remaining].sort(compareNumbers);
  // After the limit was lowered, the excess slots must finish first and take no more work.
  freeAtMs.splice(0, freeAtMs.length - limit);
  opts.aheadRunMs.forEach((runMs) => {
    const startsAtMs = freeAtMs.shift() ?? 0;
    insertAscending(freeAtMs, startsAtMs + runMs);
  });
  return freeAtMs[0] ?? 0;
}

function insertAscending(times: number[], timeMs: number): void {
  const index = times.findIndex((other) => other > timeMs);
  times.splice(index === -1 ? times.length : index, 0, timeMs);
}

function compareNumbers(left: number, right: number): number {
  return left - right;
}
