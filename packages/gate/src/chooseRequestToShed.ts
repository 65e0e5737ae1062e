import { getCostMs } from './fairQueue.js';
import type { QueuedRequest } from './queuePolicy.js';

/** Options of {@link chooseRequestToShed}. */
export interface ChooseRequestToShedOptions<Request extends QueuedRequest> {
  /** Not empty. */
  readonly requests: readonly Request[];
  readonly getWeight: (organisation: string) => number;
}

/**
 * Chooses the request to drop from a full queue. It belongs to the organisation with the most
 * queued work relative to its weight; within it, batch requests go first, then the latest deadline.
 */
export function chooseRequestToShed<Request extends QueuedRequest>(
  opts: ChooseRequestToShedOptions<Request>,
): Request {
  const loads = new Map<string, number>();
  opts.requests.forEach((request) => {
    const load = getCostMs(request) / opts.getWeight(request.organisation);
    loads.set(request.organisation, (loads.get(request.organisation) ?? 0) + load);
  });
  const getLoad = (request: Request): number => loads.get(request.organisation) ?? 0;
  return opts.requests.reduce((candidate, request) =>
    isShedBefore(request, candidate, getLoad) ? request : candidate,
  );
}

function isShedBefore<Request extends QueuedRequest>(
  left: Request,
  right: Request,
  getLoad: (request: Request) => number,
): boolean {
  if (getLoad(left) !== getLoad(right)) {
    return getLoad(left) > getLoad(right);
  }
  if (left.priority !== right.priority) {
    return left.priority === 'batch';
  }
  return left.deadlineAtMs > right.deadlineAtMs;
}
