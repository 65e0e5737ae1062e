import { compareOnTime, FairQueue, YieldOrder } from '@galenatiller/scheduling';
import type { Maybe } from 'true-myth';

import type { CreateQueueOptions, RequestQueue, QueuedRequest } from './queuePolicy.js';

/** Minimum share of the work that batch requests get while any are queued. */
export const MIN_BATCH_SHARE = 0.1;

/** Minimum cost of a request, so that requests of unknown run time count too. */
const MIN_COST_MS = 1;

/** Batch credit earned per unit of interactive cost. */
const BATCH_CREDIT_RATIO = MIN_BATCH_SHARE / (1 - MIN_BATCH_SHARE);

interface PriorityClasses<Request extends QueuedRequest> {
  readonly interactive: FairQueue<Request>;
  readonly batch: FairQueue<Request>;
}

/**
 * Queue of one target. Interactive requests go before batch requests, which keep a minimum share;
 * fair between organisations, earliest deadline first within each.
 */
export class FairPriorityQueue<Request extends QueuedRequest> implements RequestQueue<Request> {
  private constructor(
    private readonly opts: CreateQueueOptions,
    private readonly classes: PriorityClasses<Request>,
    private waitingCount: number,
    /** Batch cost that has been earned and not yet used. */
    private batchCreditMs: number,
  ) {}

  /** Creates an empty queue. */
  static create<Request extends QueuedRequest>(
    opts: CreateQueueOptions,
  ): FairPriorityQueue<Request> {
    const order = { getWeight: opts.getWeight, getCostMs, compare: compareRequests };
    const classes: PriorityClasses<Request> = {
      interactive: FairQueue.create<Request>(order),
      batch: FairQueue.create<Request>(order),
    };
    return new FairPriorityQueue(opts, classes, 0, 0);
  }

  /** Number of queued requests. */
  get size(): number {
    return this.waitingCount;
  }

  /** Adds a request. */
  push(request: Request): void {
    this.classes[request.priority].push(request);
    this.waitingCount += 1;
  }

  /** Removes and returns the request that runs next. */
  take(): Maybe<Request> {
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
    this.batchCreditMs += getCostMs(interactive.value) * BATCH_CREDIT_RATIO;
    return this.takeFrom('interactive');
  }

  /** Removes a request; returns false when it is not queued. */
  remove(request: Request): boolean {
    const removed = this.classes[request.priority].remove(request);
    this.waitingCount -= removed ? 1 : 0;
    return removed;
  }

  /**
   * Removes the requests that are expected to miss their deadline. Requests that may well miss it
   * are removed too while safer ones are queued, because a late run would take their slot.
   */
  expire(opts: { readonly nowMs: number }): readonly Request[] {
    const getSlackMs = (request: Request): number =>
      request.deadlineAtMs - opts.nowMs - getCostMs(request);
    const isSafe = (request: Request): boolean => getSlackMs(request) >= request.safetyMarginMs;
    const { interactive, batch } = this.classes;
    const hasSafeInteractive = interactive.works.some(isSafe);
    // A safe batch request is no reason to drop an interactive one.
    const hasSafe = hasSafeInteractive || batch.works.some(isSafe);
    const isLate = (request: Request): boolean => {
      const hasSaferWaiting = request.priority === 'interactive' ? hasSafeInteractive : hasSafe;
      return getSlackMs(request) < (hasSaferWaiting ? request.safetyMarginMs : 0);
    };
    const late = this.listRequests().filter(isLate);
    late.forEach((request) => {
      this.remove(request);
    });
    return late;
  }

  /** Removes requests of the organisations that exceed their share the most, the last ones first. */
  shed(opts: { readonly maxSize: number }): readonly Request[] {
    if (this.waitingCount <= opts.maxSize) {
      return [];
    }
    const yieldOrder = YieldOrder.create<Request>({
      getCostMs,
      getUsedMs: () => 0,
      getWeight: this.opts.getWeight,
      compare: compareRequests,
    });
    this.listRequests().forEach((request) => yieldOrder.add(request));
    const shed: Request[] = [];
    while (this.waitingCount > opts.maxSize) {
      const request = yieldOrder.takeNext();
      if (!request) {
        break;
      }
      this.remove(request);
      shed.push(request);
    }
    return shed;
  }

  /** Lists the queued requests that would run before this one if no other request arrived. */
  listRequestsAhead(request: Request): readonly Request[] {
    const clone = this.clone();
    clone.push(request);
    const ahead: Request[] = [];
    let next = clone.take();
    while (next.isJust && next.value !== request) {
      ahead.push(next.value);
      next = clone.take();
    }
    return ahead;
  }

  private takeFrom(priority: keyof PriorityClasses<Request>): Maybe<Request> {
    const taken = this.classes[priority].take();
    this.waitingCount -= taken.isJust ? 1 : 0;
    return taken;
  }

  private listRequests(): readonly Request[] {
    return [...this.classes.interactive.works, ...this.classes.batch.works];
  }

  private clone(): FairPriorityQueue<Request> {
    const classes = {
      interactive: this.classes.interactive.clone(),
      batch: this.classes.batch.clone(),
    };
    return new FairPriorityQueue(this.opts, classes, this.waitingCount, this.batchCreditMs);
  }
}

/** Cost of a request that is charged to its organisation. */
function getCostMs({ expectedRunMs }: QueuedRequest): number {
  return Math.max(MIN_COST_MS, expectedRunMs);
}

function compareRequests(left: QueuedRequest, right: QueuedRequest): number {
  return compareOnTime(toWork(left), toWork(right));
}

function toWork(request: QueuedRequest): Parameters<typeof compareOnTime>[0] {
  return {
    priority: request.priority === 'interactive' ? 0 : 1,
    hasBegun: false,
    latestStartAtMs: request.deadlineAtMs,
  };
}
