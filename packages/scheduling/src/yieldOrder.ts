import { insertSorted } from './insertSorted.js';

/** Options of {@link YieldOrder.create}. */
export interface YieldOrderOptions<Work> {
  readonly getCostMs: (work: Work) => number;
  /** What an organisation has used lately, which counts like work that it holds. */
  readonly getUsedMs: (work: Work) => number;
  /** Share of an organisation, relative to the others. */
  readonly getWeight: (organisation: string) => number;
  /** Within an organisation, the last work in this order yields first. */
  readonly compare: (left: Work, right: Work) => number;
}

/** Work of one organisation. */
interface Holding<Work> {
  /** Sorted; the last one yields first. */
  readonly works: Work[];
  readonly usedMs: number;
  costMs: number;
  largestMs: number;
}

/**
 * An organisation yields to the others when it holds more than this multiple of the mean. Closer ones
 * hardly differ, and are better served by the choice by size.
 */
const MAX_SHARE_FACTOR = 1.25;

/**
 * Chooses which work is delayed or shed. It belongs to the organisation that holds or has used the
 * most besides its largest request, relative to its weight, so that one with a single large request doesn't yield to
 * one with many small ones. If no organisation holds much more than the others, the last work of all
 * yields.
 */
export class YieldOrder<Work extends { readonly organisation: string }> {
  private readonly holdings = new Map<string, Holding<Work>>();

  private constructor(private readonly opts: YieldOrderOptions<Work>) {}

  /** Creates an instance without work. */
  static create<Work extends { readonly organisation: string }>(
    opts: YieldOrderOptions<Work>,
  ): YieldOrder<Work> {
    return new YieldOrder(opts);
  }

  /** Adds work. */
  add(work: Work): void {
    const costMs = this.opts.getCostMs(work);
    const holding = this.holdings.get(work.organisation);
    if (!holding) {
      this.holdings.set(work.organisation, {
        works: [work],
        usedMs: this.opts.getUsedMs(work),
        costMs,
        largestMs: costMs,
      });
      return;
    }
    holding.costMs += costMs;
    holding.largestMs = Math.max(holding.largestMs, costMs);
    insertSorted(holding.works, work, this.opts.compare);
  }

  /** Removes and returns the work that yields first; undefined when there is none. */
  takeNext(): Work | undefined {
    const holding = this.findHolding();
    const work = holding?.works.pop();
    if (!holding || !work) {
      return undefined;
    }
    const { getCostMs } = this.opts;
    const costMs = getCostMs(work);
    const [first] = holding.works;
    if (first === undefined) {
      this.holdings.delete(work.organisation);
      return work;
    }
    if (costMs >= holding.largestMs) {
      holding.largestMs = holding.works.reduce((max, one) => Math.max(max, getCostMs(one)), 0);
    }
    // Without rounding errors, which would count as an excess over a single request.
    holding.costMs = holding.works.length === 1 ? getCostMs(first) : holding.costMs - costMs;
    return work;
  }

  private findHolding(): Holding<Work> | undefined {
    let largest: Holding<Work> | undefined;
    let last: Holding<Work> | undefined;
    let maxMs = 0;
    let sumMs = 0;
    this.holdings.forEach((holding, organisation) => {
      const heldMs = holding.usedMs + holding.costMs - holding.largestMs;
      const weightedMs = heldMs / this.opts.getWeight(organisation);
      sumMs += weightedMs;
      if (weightedMs > maxMs) {
        largest = holding;
        maxMs = weightedMs;
      }
      last = last && !this.yieldsBefore(holding, last) ? last : holding;
    });
    return maxMs > (MAX_SHARE_FACTOR * sumMs) / this.holdings.size ? largest : last;
  }

  private yieldsBefore(left: Holding<Work>, right: Holding<Work>): boolean {
    const [leftLast, rightLast] = [left.works.at(-1), right.works.at(-1)];
    return leftLast !== undefined && rightLast !== undefined
      ? this.opts.compare(leftLast, rightLast) > 0
      : false;
  }
}
