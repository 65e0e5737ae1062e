import type { AdmissionDecision, DecideAdmissionOptions } from './queuePolicy.js';

/**
 * Refuses an order that would not end by its deadline if the orders before it run as expected.
 * One that must wait needs its margin too; on an idle slot the run itself is worth the try.
 */
export function decideByDeadline(opts: DecideAdmissionOptions): AdmissionDecision {
  const waitMs = estimateWait(opts);
  const budgetMs = opts.deadlineAtMs - opts.nowMs;
  const marginMs = waitMs > 0 ? opts.safetyMarginMs : 0;
  const lateMs = waitMs + opts.expectedRunMs + marginMs - budgetMs;
  if (lateMs <= 0) {
    return { kind: 'admit', waitMs };
  }
  // A run that is too long by itself gains nothing from a shorter queue.
  const wouldFitAlone = opts.expectedRunMs <= budgetMs;
  return { kind: 'refuse', retryAfterMs: wouldFitAlone ? Math.ceil(lateMs) : 0 };
}

/** Time until a slot is free, with each order ahead on the slot that is free first. */
function estimateWait(opts: DecideAdmissionOptions): number {
  const limit = Math.max(1, opts.inFlightLimit);
  const remaining = opts.inFlightRemainingMs.map((remainingMs) => Math.max(0, remainingMs));
  const idle = Array.from({ length: Math.max(0, limit - remaining.length) }, () => 0);
  const freeAtMs = [...idle, ...remaining].sort(ascending);
  // With a lowered limit, slots beyond it must end first and take no more work.
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

function ascending(left: number, right: number): number {
  return left - right;
}
