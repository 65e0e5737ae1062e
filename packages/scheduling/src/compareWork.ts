import type { SchedulableWork } from './schedulableWork.js';

type Compared = Omit<SchedulableWork, 'costMs' | 'organisation'>;

/** Orders work that can be on time: urgent priorities first, then begun requests, then by deadline. */
export function compareOnTime(
  left: Pick<Compared, 'priority' | 'hasBegun' | 'latestStartAtMs'>,
  right: Pick<Compared, 'priority' | 'hasBegun' | 'latestStartAtMs'>,
): number {
  return (
    left.priority - right.priority ||
    Number(right.hasBegun) - Number(left.hasBegun) ||
    left.latestStartAtMs - right.latestStartAtMs
  );
}

/** Orders work that is late anyway: as above, but by the remaining work, to serve the most callers. */
export function compareDelayed(left: Compared, right: Compared): number {
  return (
    left.priority - right.priority ||
    Number(right.hasBegun) - Number(left.hasBegun) ||
    compareYielding(left, right)
  );
}

/** Orders requests of the same priority; the last one yields when not all of them can be on time. */
export function compareYielding(left: Compared, right: Compared): number {
  return getYieldMs(left) - getYieldMs(right) || left.latestStartAtMs - right.latestStartAtMs;
}

function getYieldMs(work: Compared): number {
  return work.isSizeExempt ? 0 : work.remainingMs;
}
