import type { AdmitCallDecision, AdmitCallOptions, StageEstimate, TargetView } from './policy.js';

/** Refuses a call up front when its route is not expected to finish by the deadline. */
export function admitCall(opts: AdmitCallOptions): AdmitCallDecision {
  const expectedMs = opts.stages.reduce((sumMs, stage) => sumMs + estimateStageMs(stage), 0);
  if (expectedMs <= opts.remainingMs) {
    return { kind: 'admit' };
  }
  return { kind: 'refuse', retryAfterMs: Math.ceil(expectedMs - opts.remainingMs) };
}

/** Expected run time plus the shortest expected wait among the targets. */
function estimateStageMs({ expectedRunMs, candidates }: StageEstimate): number {
  const waitsMs = candidates
    .filter(({ isAcceptingWork }) => isAcceptingWork)
    .map((view) => estimateWaitMs(view, expectedRunMs));
  return waitsMs.length === 0 ? expectedRunMs : expectedRunMs + Math.min(...waitsMs);
}

function estimateWaitMs({ report, sentSinceReport }: TargetView, runMs: number): number {
  const slots = Math.max(1, report.inFlightLimit);
  const requestsAhead = report.inFlight + report.queued + sentSinceReport + 1 - slots;
  return (Math.max(0, requestsAhead) * runMs) / slots;
}
