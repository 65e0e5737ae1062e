import type { Maybe } from 'true-myth';

import { chooseOrderToShed } from './chooseOrderToShed.js';
import { costOf, FairShares } from './fairShares.js';
import type { CreateQueueOptions, OrderQueue, QueuedOrder } from './queuePolicy.js';

/** Share of the work that batch orders get at least while they wait. */
export const BATCH_MIN_SHARE = 0.1;

/** Batch cost that is earned by a unit of interactive cost. */
const BATCH_EARNING = BATCH_MIN_SHARE / (1 - BATCH_MIN_SHARE);

interface Classes<Order extends QueuedOrder> {
  readonly interactive: FairShares<Order>;
  readonly batch: FairShares<Order>;
}

/**
 * The waiting orders of one target: interactive before batch, which keeps a least share; fair
 * between organisations; earliest deadline first within one.
 */
export class StageQueue<Order extends QueuedOrder> implements OrderQueue<Order> {
  private constructor(
    private readonly opts: CreateQueueOptions,
    private readonly classes: Classes<Order>,
    private waiting: number,
    /** Cost of batch work that has been earned and not yet run. */
    private batchCreditMs: number,
  ) {}

  /** Makes an empty queue. */
  static create<Order extends QueuedOrder>(opts: CreateQueueOptions): StageQueue<Order> {
    const classes: Classes<Order> = {
      interactive: FairShares.create(opts),
      batch: FairShares.create(opts),
    };
    return new StageQueue(opts, classes, 0, 0);
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
    if (this.batchCreditMs >= costOf(batch.value)) {
      this.batchCreditMs -= costOf(batch.value);
      return this.takeFrom('batch');
    }
    this.batchCreditMs += costOf(interactive.value) * BATCH_EARNING;
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
    const slackOf = (order: Order): number => order.deadlineAtMs - opts.nowMs - costOf(order);
    const isSafe = (order: Order): boolean => slackOf(order) >= order.marginMs;
    const { interactive, batch } = this.classes;
    const safeInteractive = interactive.orders.some(isSafe);
    // A safe batch order is no reason to give up an interactive one.
    const safeAny = safeInteractive || batch.orders.some(isSafe);
    const isLate = (order: Order): boolean => {
      const safeWaits = order.priority === 'interactive' ? safeInteractive : safeAny;
      return slackOf(order) < (safeWaits ? order.marginMs : 0);
    };
    const late = this.listOrders().filter(isLate);
    late.forEach((order) => {
      this.remove(order);
    });
    return late;
  }

  /** Takes out orders of the organisations that are furthest over their share. */
  shed(opts: { readonly limit: number }): readonly Order[] {
    const shed: Order[] = [];
    while (this.waiting > opts.limit) {
      const orders = this.listOrders();
      const order = chooseOrderToShed({ orders, weightOf: this.opts.weightOf });
      this.remove(order);
      shed.push(order);
    }
    return shed;
  }

  /** The waiting orders that run before an order if it is pushed now and no other comes. */
  ordersAhead(order: Order): readonly Order[] {
    const copy = this.copy();
    copy.push(order);
    const ahead: Order[] = [];
    let next = copy.take();
    while (next.isJust && next.value !== order) {
      ahead.push(next.value);
      next = copy.take();
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

  private copy(): StageQueue<Order> {
    const classes = {
      interactive: this.classes.interactive.copy(),
      batch: this.classes.batch.copy(),
    };
    return new StageQueue(this.opts, classes, this.waiting, this.batchCreditMs);
  }
}
