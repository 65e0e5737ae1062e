import { compareDelayed, compareOnTime, compareYielding } from './compareWork.js';
import type { SchedulableWork } from './schedulableWork.js';
import { YieldOrder } from './yieldOrder.js';

/** Options of {@link orderWork}. */
export interface OrderWorkOptions<Work> {
  /** Work in the order of its arrival. */
  readonly works: readonly Work[];
  /** Monotonic time at which the first work can start. */
  readonly startsAtMs: number;
  /** What the organisation of the work has used lately at its priority. */
  readonly getUsedMs: (work: Work) => number;
}

/** Work in the order in which it should be taken. */
export interface OrderedWork<Work> {
  /** Taken first; all of it is expected to be on time. */
  readonly onTime: readonly Work[];
  /** Takes only the capacity that the rest leaves. */
  readonly delayed: readonly Work[];
}

/**
 * Orders the work of a queue. Work that can be on time goes before work that can't; each is ordered by
 * priority, with begun requests first. Where not all work of a priority can be on time, so much of it
 * is delayed at once that the rest can, instead of all of it being a little late. This is Moore's
 * algorithm for the fewest late jobs, with fair shares for organisations and half of the requests
 * exempt from the choice by size.
 */
export function orderWork<Work extends SchedulableWork>(
  opts: OrderWorkOptions<Work>,
): OrderedWork<Work> {
  const { startsAtMs } = opts;
  const candidates: Work[] = [];
  const delayed = new Set<Work>();
  opts.works.forEach((work) => {
    if (work.latestStartAtMs < startsAtMs) {
      delayed.add(work);
    } else {
      candidates.push(work);
    }
  });
  candidates.sort(compareOnTime);
  let segment: Work[] = [];
  let yieldOrder: YieldOrder<Work> | undefined;
  let freeAtMs = startsAtMs;
  candidates.forEach((work) => {
    const [first] = segment;
    if (first && !isSameSegment(first, work)) {
      segment = [];
      yieldOrder = undefined;
    }
    segment.push(work);
    yieldOrder?.add(work);
    let startAtMs = freeAtMs;
    freeAtMs += work.costMs;
    while (startAtMs > work.latestStartAtMs && !delayed.has(work)) {
      // Most queues have no late work, so that the order is only built when it is needed.
      yieldOrder ??= createYieldOrder(segment, opts.getUsedMs);
      const yielding = yieldOrder.takeNext() ?? work;
      delayed.add(yielding);
      startAtMs -= yielding.costMs;
      freeAtMs -= yielding.costMs;
    }
  });
  return {
    onTime: candidates.filter((work) => !delayed.has(work)),
    delayed: [...delayed].sort(compareDelayed),
  };
}

function isSameSegment(left: SchedulableWork, right: SchedulableWork): boolean {
  return left.priority === right.priority && left.hasBegun === right.hasBegun;
}

function createYieldOrder<Work extends SchedulableWork>(
  works: readonly Work[],
  getUsedMs: (work: Work) => number,
): YieldOrder<Work> {
  const yieldOrder = YieldOrder.create<Work>({
    getCostMs: ({ costMs }) => costMs,
    getUsedMs,
    getWeight: () => 1,
    compare: compareYielding,
  });
  works.forEach((work) => yieldOrder.add(work));
  return yieldOrder;
}
