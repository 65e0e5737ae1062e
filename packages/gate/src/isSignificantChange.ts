import type { TargetsFrame } from '@galenatiller/node';
import type { TargetReport } from '@galenatiller/types';

/** Change of load, as a fraction of the limit, that entries are notified of at once. */
const SIGNIFICANT_LOAD_SHARE = 0.25;

/** Whether a report differs enough from the last one sent to be sent before it is due. */
export function isSignificantChange(lastSent: TargetsFrame, current: TargetsFrame): boolean {
  return (
    lastSent.leaving !== current.leaving ||
    lastSent.reports.length !== current.reports.length ||
    current.reports.some((report, index) => hasChanged(lastSent.reports[index], report))
  );
}

function hasChanged(lastSent: TargetReport | undefined, current: TargetReport): boolean {
  if (
    lastSent?.name !== current.name ||
    lastSent.state !== current.state ||
    isPaused(lastSent) !== isPaused(current)
  ) {
    return true;
  }
  const threshold = Math.max(1, current.inFlightLimit * SIGNIFICANT_LOAD_SHARE);
  return (
    Math.abs(lastSent.inFlightLimit - current.inFlightLimit) >= threshold ||
    Math.abs(getLoad(lastSent) - getLoad(current)) > threshold
  );
}

function isPaused({ pausedMs = 0 }: TargetReport): boolean {
  return pausedMs > 0;
}

function getLoad(report: TargetReport): number {
  return report.inFlight + report.queued;
}
