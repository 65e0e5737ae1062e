import { Maybe } from 'true-myth';

import type { CreateQueueOptions, QueuedOrder } from './queuePolicy.js';

/** Least cost of an order, so that orders of unknown length count too. */
const MIN_COST_MS = 1;
const MIN_WEIGHT = 0.001;

/** The waiting orders of one organisation. */
interface Share<Order> {
  readonly organisation: string;
  /** Sorted by deadline, the earliest first. */
  readonly orders: readonly Order[];
  /** Virtual time at which the next order starts: cost served so far over weight. */
  readonly startTag: number;
}

/**
 * Start-time fair queueing between organisations by weight, earliest deadline first within one.
 * Of two organisations that both wait, neither gets ahead by more than one order of each.
 */
export class FairShares<Order extends QueuedOrder> {
  private constructor(
    private readonly opts: CreateQueueOptions,
    private readonly shares: Map<string, Share<Order>>,
    /** Start tag of the order taken last. */
    private virtualTime: number,
  ) {}

  /** Makes shares without orders. */
  static create<Order extends QueuedOrder>(opts: CreateQueueOptions): FairShares<Order> {
    return new FairShares(opts, new Map(), 0);
  }

  /** Every waiting order. */
  get orders(): readonly Order[] {
    return [...this.shares.values()].flatMap((share) => share.orders);
  }

  /** The order that `take` takes. */
  get next(): Maybe<Order> {
    return Maybe.of(this.firstShare()?.orders[0]);
  }

  /** Adds an order. */
  push(order: Order): void {
    const { organisation } = order;
    const share = this.shares.get(organisation) ?? { organisation, orders: [], startTag: 0 };
    // An organisation that did not wait earns no credit for the time that it was away.
    const startTag =
      share.orders.length === 0 ? Math.max(share.startTag, this.virtualTime) : share.startTag;
    const orders = insertByDeadline(share.orders, order);
    this.shares.set(organisation, { organisation, orders, startTag });
  }

  /** Takes the next order and charges its organisation for it. */
  take(): Maybe<Order> {
    const share = this.firstShare();
    const [order, ...orders] = share?.orders ?? [];
    if (!share || !order) {
      return Maybe.nothing();
    }
    this.virtualTime = share.startTag;
    const startTag = share.startTag + costOf(order) / this.weightOf(share.organisation);
    this.shares.set(share.organisation, { ...share, orders, startTag });
    this.forgetIdle();
    return Maybe.just(order);
  }

  /** Takes one order out without charge; false when it does not wait. */
  remove(order: Order): boolean {
    const share = this.shares.get(order.organisation);
    if (!share?.orders.includes(order)) {
      return false;
    }
    const orders = share.orders.filter((other) => other !== order);
    this.shares.set(share.organisation, { ...share, orders });
    this.forgetIdle();
    return true;
  }

  /** Shares that go their own way from here. */
  copy(): FairShares<Order> {
    return new FairShares(this.opts, new Map(this.shares), this.virtualTime);
  }

  private firstShare(): Share<Order> | undefined {
    let first: Share<Order> | undefined;
    this.shares.forEach((share) => {
      if (share.orders.length > 0 && (!first || goesBefore(share, first))) {
        first = share;
      }
    });
    return first;
  }

  /** A share without orders whose tag has been passed is as good as a new one. */
  private forgetIdle(): void {
    this.shares.forEach((share, organisation) => {
      if (share.orders.length === 0 && share.startTag <= this.virtualTime) {
        this.shares.delete(organisation);
      }
    });
  }

  private weightOf(organisation: string): number {
    return Math.max(MIN_WEIGHT, this.opts.weightOf(organisation));
  }
}

/** What an order costs its organisation. */
export function costOf(order: QueuedOrder): number {
  return Math.max(MIN_COST_MS, order.expectedRunMs);
}

function goesBefore<Order extends QueuedOrder>(left: Share<Order>, right: Share<Order>): boolean {
  if (left.startTag !== right.startTag) {
    return left.startTag < right.startTag;
  }
  return (left.orders[0]?.deadlineAtMs ?? 0) < (right.orders[0]?.deadlineAtMs ?? 0);
}

/** Orders with the same deadline stay in the order of their arrival. */
function insertByDeadline<Order extends QueuedOrder>(
  orders: readonly Order[],
  order: Order,
): readonly Order[] {
  let low = 0;
  let high = orders.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((orders[middle]?.deadlineAtMs ?? 0) <= order.deadlineAtMs) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return [...orders.slice(0, low), order, ...orders.slice(low)];
}
