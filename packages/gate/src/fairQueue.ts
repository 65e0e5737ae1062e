import { Maybe } from 'true-myth';

import type { CreateQueueOptions, QueuedRequest } from './queuePolicy.js';

/** Least cost of an order, so that orders of unknown length count too. */
const MIN_COST_MS = 1;
const MIN_WEIGHT = 0.001;

/** The waiting orders of one organisation. */
interface Share<Order> {
  readonly organisation: string;
  /** Sorted by deadline, the earliest first; those before `taken` have left. */
  readonly orders: readonly Order[];
  readonly taken: number;
  /** Virtual time at which the next order starts: cost served so far over weight. */
  readonly startTag: number;
}

/**
 * Start-time fair queueing between organisations by weight, earliest deadline first within one.
 * Of two organisations that both wait, neither gets ahead by more than one order of each.
 */
export class FairQueue<Order extends QueuedRequest> {
  private constructor(
    private readonly opts: CreateQueueOptions,
    private readonly shares: Map<string, Share<Order>>,
    /** Start tag of the order taken last. */
    private virtualTime: number,
  ) {}

  /** Makes shares without orders. */
  static create<Order extends QueuedRequest>(opts: CreateQueueOptions): FairQueue<Order> {
    return new FairQueue(opts, new Map(), 0);
  }

  /** Every waiting order. */
  get orders(): readonly Order[] {
    return [...this.shares.values()].flatMap(waitingOf);
  }

  /** The order that `take` takes. */
  get next(): Maybe<Order> {
    return Maybe.of(headOf(this.firstShare()));
  }

  /** Adds an order. */
  push(order: Order): void {
    const { organisation } = order;
    const share = this.shares.get(organisation);
    const waiting = share ? waitingOf(share) : [];
    const lastTag = share?.startTag ?? 0;
    // An organisation that did not wait earns no credit for the time that it was away.
    const startTag = waiting.length === 0 ? Math.max(lastTag, this.virtualTime) : lastTag;
    const orders = insertByDeadline(waiting, order);
    this.shares.set(organisation, { organisation, orders, taken: 0, startTag });
  }

  /** Takes the next order and charges its organisation for it. */
  take(): Maybe<Order> {
    const share = this.firstShare();
    const order = headOf(share);
    if (!share || !order) {
      return Maybe.nothing();
    }
    this.virtualTime = share.startTag;
    const startTag = share.startTag + getCostMs(order) / this.weightOf(share.organisation);
    this.shares.set(share.organisation, { ...share, taken: share.taken + 1, startTag });
    this.forgetIdle();
    return Maybe.just(order);
  }

  /** Takes one order out without charge; false when it does not wait. */
  remove(order: Order): boolean {
    const share = this.shares.get(order.organisation);
    const waiting = share ? waitingOf(share) : [];
    if (!share || !waiting.includes(order)) {
      return false;
    }
    const orders = waiting.filter((other) => other !== order);
    this.shares.set(share.organisation, { ...share, orders, taken: 0 });
    this.forgetIdle();
    return true;
  }

  /** Shares that go their own way from here. */
  clone(): FairQueue<Order> {
    return new FairQueue(this.opts, new Map(this.shares), this.virtualTime);
  }

  private firstShare(): Share<Order> | undefined {
    let first: Share<Order> | undefined;
    this.shares.forEach((share) => {
      if (headOf(share) && (!first || goesBefore(share, first))) {
        first = share;
      }
    });
    return first;
  }

  /** A share without orders whose tag has been passed is as good as a new one. */
  private forgetIdle(): void {
    this.shares.forEach((share, organisation) => {
      if (!headOf(share) && share.startTag <= this.virtualTime) {
        this.shares.delete(organisation);
      }
    });
  }

  private weightOf(organisation: string): number {
    return Math.max(MIN_WEIGHT, this.opts.getWeight(organisation));
  }
}

/** What an order costs its organisation. */
export function getCostMs(order: QueuedRequest): number {
  return Math.max(MIN_COST_MS, order.expectedRunMs);
}

function headOf<Order>(share: Share<Order> | undefined): Order | undefined {
  return share?.orders[share.taken];
}

function waitingOf<Order>(share: Share<Order>): readonly Order[] {
  return share.orders.slice(share.taken);
}

function goesBefore<Order extends QueuedRequest>(left: Share<Order>, right: Share<Order>): boolean {
  if (left.startTag !== right.startTag) {
    return left.startTag < right.startTag;
  }
  return (headOf(left)?.deadlineAtMs ?? 0) < (headOf(right)?.deadlineAtMs ?? 0);
}

/** Orders with the same deadline stay in the order of their arrival. */
function insertByDeadline<Order extends QueuedRequest>(
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
