import type { OrderQueue, QueuedOrder } from '../src/queuePolicy.js';

/** Takes every order in turn. */
export function drainQueue(queue: OrderQueue<QueuedOrder>): QueuedOrder[] {
  const ran: QueuedOrder[] = [];
  for (let next = queue.take(); next.isJust; next = queue.take()) {
    ran.push(next.value);
  }
  return ran;
}
