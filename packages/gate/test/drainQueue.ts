import type { RequestQueue, QueuedRequest } from '../src/queuePolicy.js';

/** Takes all requests from a queue. */
export function drainQueue(queue: RequestQueue<QueuedRequest>): QueuedRequest[] {
  const ran: QueuedRequest[] = [];
  for (let next = queue.take(); next.isJust; next = queue.take()) {
    ran.push(next.value);
  }
  return ran;
}
