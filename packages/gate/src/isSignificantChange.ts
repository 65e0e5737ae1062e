import type { TargetsFrame } from '@galenatiller/node';
import type { TargetReport } from '@galenatiller/types';

/** Change of load, as a share of the limit, that entries must know. */
const LOAD_CHANGE_SHARE = 0.25;

/** Whether a report differs enough from the last one to be sent before it is due. */
export function isSignificantChange(told: TargetsFrame, now: TargetsFrame): boolean {
  return (
    told.leaving !== now.leaving ||
    told.reports.length !== now.reports.length ||
    now.reports.some((report, index) => hasChanged(told.reports[index], report))
  );
}

function hasChanged(told: TargetReport | undefined, now: TargetReport): boolean {
  if (told?.name !== now.name || told.state !== now.state) {
    return true;
  }
  const change = Math.max(1, now.inFlightLimit * LOAD_CHANGE_SHARE);
  return (
    Math.abs(told.inFlightLimit - now.inFlightLimit) >= change ||
    Math.abs(loadOf(told) - loadOf(now)) > change
  );
}

function loadOf(report: TargetReport): number {
  return report.inFlight + report.queued;
}
