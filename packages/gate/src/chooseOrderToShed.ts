import { costOf } from './fairShares.js';
import type { QueuedOrder } from './queuePolicy.js';

/** Options of {@link chooseOrderToShed}. */
export interface ChooseOrderToShedOptions<Order extends QueuedOrder> {
  /** Not empty. */
  readonly orders: readonly Order[];
  readonly weightOf: (organisation: string) => number;
}

/**
 * Chooses the order that gives way in a full queue: of the organisation whose waiting work is
 * largest for its weight, the batch order, else the interactive one, with the latest deadline.
 */
export function chooseOrderToShed<Order extends QueuedOrder>(
  opts: ChooseOrderToShedOptions<Order>,
): Order {
  const loads = new Map<string, number>();
  opts.orders.forEach((order) => {
    const load = costOf(order) / opts.weightOf(order.organisation);
    loads.set(order.organisation, (loads.get(order.organisation) ?? 0) + load);
  });
  const loadOf = (order: Order): number => loads.get(order.organisation) ?? 0;
  return opts.orders.reduce((worst, order) =>
    givesWayBefore(order, worst, loadOf) ? order : worst,
  );
}

function givesWayBefore<Order extends QueuedOrder>(
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
