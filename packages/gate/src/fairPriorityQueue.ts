import type { Maybe } from 'true-myth';

import { chooseRequestToShed } from './chooseRequestToShed.js';
import { getCostMs, FairQueue } from './fairQueue.js';
import type { CreateQueueOptions, RequestQueue, QueuedRequest } from './queuePolicy.js';

/** Share of the work that batch orders get at least while they wait. */
export const MIN_BATCH_SHARE = 0.1;

/** Batch cost that is earned by a unit of interactive cost. */
const BATCH_EARNING = MIN_BATCH_SHARE / (1 - MIN_BATCH_SHARE);

interface Classes<Order extends QueuedRequest> {
  readonly interactive: FairQueue<Order>;
  readonly batch: FairQueue<Order>;
}

/**
 * The waiting orders of one target: interactive before batch, which keeps a least share; fair
 * between organisations; earliest deadline first within one.
 */
export class FairPriorityQueue<Order extends QueuedRequest> implements RequestQueue<Order> {
  private constructor(
    private readonly opts: CreateQueueOptions,
    private readonly classes: Classes<Order>,
    private waiting: number,
    /** Cost of batch work that has been earned and not yet run. */
    private batchCreditMs: number,
  ) {}

  /** Makes an empty queue. */
  static create<Order extends QueuedRequest>(opts: CreateQueueOptions): FairPriorityQueue<Order> {
    const classes: Classes<Order> = {
      interactive: FairQueue.create(opts),
      batch: FairQueue.create(opts),
    };
    return new FairPriorityQueue(opts, classes, 0, 0);
  }

  /** Number of waiting orders. */
  get size(): number {
    return this.waiting;
  }

  /** Adds an order. */
  push(order: Order): void {
    this.classes[order.priority].push(order);
    this.waiting += 1;
  }

  /** Takes the order that runs next. */
  take(): Maybe<Order> {
    const batch = this.classes.batch.next;
    const interactive = this.classes.interactive.next;
    if (batch.isNothing) {
      this.batchCreditMs = 0;
      return this.takeFrom('interactive');
    }
    if (interactive.isNothing) {
      return this.takeFrom('batch');
    }
    if (this.batchCreditMs >= getCostMs(batch.value)) {
      this.batchCreditMs -= getCostMs(batch.value);
      return this.takeFrom('batch');
    }
    this.batchCreditMs += getCostMs(interactive.value) * BATCH_EARNING;
    return this.takeFrom('interactive');
  }

  /** Takes one order out; false when it does not wait. */
  remove(order: Order): boolean {
    const removed = this.classes[order.priority].remove(order);
    this.waiting -= removed ? 1 : 0;
    return removed;
  }

  /**
   * Takes out the orders whose expected run no longer ends by their deadline. Those that may
   * easily be late give way too while safer ones wait: a late run takes the slot from them.
   */
  expire(opts: { readonly nowMs: number }): readonly Order[] {
    const slackOf = (order: Order): number => order.deadlineAtMs - opts.nowMs - getCostMs(order);
    const isSafe = (order: Order): boolean => slackOf(order) >= order.safetyMarginMs;
    const { interactive, batch } = this.classes;
    const safeInteractive = interactive.orders.some(isSafe);
    // A safe batch order is no reason to give up an interactive one.
    const safeAny = safeInteractive || batch.orders.some(isSafe);
    const isLate = (order: Order): boolean => {
      const safeWaits = order.priority === 'interactive' ? safeInteractive : safeAny;
      return slackOf(order) < (safeWaits ? order.safetyMarginMs : 0);
    };
    const late = this.listOrders().filter(isLate);
    late.forEach((order) => {
      this.remove(order);
    });
    return late;
  }

  /** Takes out orders of the organisations that are furthest over their share. */
  shed(opts: { readonly maxSize: number }): readonly Order[] {
    const shed: Order[] = [];
    while (this.waiting > opts.maxSize) {
      const orders = this.listOrders();
      const order = chooseRequestToShed({ requests: orders, getWeight: this.opts.getWeight });
      this.remove(order);
      shed.push(order);
    }
    return shed;
  }

  /** The waiting orders that run before an order if it is pushed now and no other comes. */
  listRequestsAhead(order: Order): readonly Order[] {
    const clone = this.clone();
    clone.push(order);
    const ahead: Order[] = [];
    let next = clone.take();
    while (next.isJust && next.value !== order) {
      ahead.push(next.value);
      next = clone.take();
    }
    return ahead;
  }

  private takeFrom(priority: keyof Classes<Order>): Maybe<Order> {
    const taken = this.classes[priority].take();
    this.waiting -= taken.isJust ? 1 : 0;
    return taken;
  }

  private listOrders(): readonly Order[] {
    return [...this.classes.interactive.orders, ...this.classes.batch.orders];
  }

  private clone(): FairPriorityQueue<Order> {
    const classes = {
      interactive: this.classes.interactive.clone(),
      batch: this.classes.batch.clone(),
    };
    return new FairPriorityQueue(this.opts, classes, this.waiting, this.batchCreditMs);
  }
}
