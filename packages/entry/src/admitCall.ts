import type { AdmitCallDecision, AdmitCallOptions, StageEstimate, TargetView } from './policy.js';

/** Refuses a call before its first stage when its route is not expected to end by the deadline. */
export function admitCall(opts: AdmitCallOptions): AdmitCallDecision {
  const expectedMs = opts.stages.reduce((sumMs, stage) => sumMs + expectStage(stage), 0);
  if (expectedMs <= opts.remainingMs) {
    return { kind: 'admit' };
  }
  return { kind: 'refuse', retryAfterMs: Math.ceil(expectedMs - opts.remainingMs) };
}

/** Run time, and the wait at the target with the shortest one. */
function expectStage({ runMs, candidates }: StageEstimate): number {
  const waitsMs = candidates
    .filter(({ takesWork }) => takesWork)
    .map((view) => expectWait(view, runMs));
  return waitsMs.length === 0 ? runMs : runMs + Math.min(...waitsMs);
}

function expectWait({ report, sentSinceReport }: TargetView, runMs: number): number {
  const slots = Math.max(1, report.inFlightLimit);
  const ahead = report.inFlight + report.queued + sentSinceReport + 1 - slots;
  return (Math.max(0, ahead) * runMs) / slots;
}
