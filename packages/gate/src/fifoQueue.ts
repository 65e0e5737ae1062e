import { Maybe } from 'true-myth';

import type { RequestQueue, QueuedRequest } from './queuePolicy.js';

/** A queue in the order of arrival; the newest orders are over the limit. */
export class FifoQueue<Order extends QueuedRequest> implements RequestQueue<Order> {
  private orders: readonly Order[] = [];

  private constructor() {}

  /** Makes an empty queue. */
  static create<Order extends QueuedRequest>(): FifoQueue<Order> {
    return new FifoQueue();
  }

  /** Number of waiting orders. */
  get size(): number {
    return this.orders.length;
  }

  /** Adds an order at the end. */
  push(order: Order): void {
    this.orders = [...this.orders, order];
  }

  /** Takes the oldest order. */
  take(): Maybe<Order> {
    const [order, ...rest] = this.orders;
    this.orders = rest;
    return Maybe.of(order);
  }

  /** Takes one order out; false when it does not wait. */
  remove(order: Order): boolean {
    const isWaiting = this.orders.includes(order);
    this.orders = this.orders.filter((other) => other !== order);
    return isWaiting;
  }

  /** Keeps late orders. */
  // eslint-disable-next-line class-methods-use-this
  expire(): readonly Order[] {
    return [];
  }

  /** Takes out the newest orders over the limit. */
  shed(opts: { readonly maxSize: number }): readonly Order[] {
    const shed = this.orders.slice(opts.maxSize);
    this.orders = this.orders.slice(0, opts.maxSize);
    return shed;
  }

  /** Every waiting order runs before a new one. */
  listRequestsAhead(): readonly Order[] {
    return this.orders;
  }
}
