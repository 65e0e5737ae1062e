import { getCostMs } from './fairQueue.js';
import type { QueuedRequest } from './queuePolicy.js';

/** Options of {@link chooseRequestToShed}. */
export interface ChooseRequestToShedOptions<Order extends QueuedRequest> {
  /** Not empty. */
  readonly requests: readonly Order[];
  readonly getWeight: (organisation: string) => number;
}

/**
 * Chooses the order that gives way in a full queue: of the organisation whose waiting work is
 * largest for its weight, the batch order, else the interactive one, with the latest deadline.
 */
export function chooseRequestToShed<Order extends QueuedRequest>(
  opts: ChooseRequestToShedOptions<Order>,
): Order {
  const loads = new Map<string, number>();
  opts.requests.forEach((order) => {
    const load = getCostMs(order) / opts.getWeight(order.organisation);
    loads.set(order.organisation, (loads.get(order.organisation) ?? 0) + load);
  });
  const loadOf = (order: Order): number => loads.get(order.organisation) ?? 0;
  return opts.requests.reduce((worst, order) =>
    givesWayBefore(order, worst, loadOf) ? order : worst,
  );
}

function givesWayBefore<Order extends QueuedRequest>(
  left: Order,
  right: Order,
  loadOf: (order: Order) => number,
): boolean {
  if (loadOf(left) !== loadOf(right)) {
    return loadOf(left) > loadOf(right);
  }
  if (left.priority !== right.priority) {
    return left.priority === 'batch';
  }
  return left.deadlineAtMs > right.deadlineAtMs;
}
