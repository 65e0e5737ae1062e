import { Maybe } from 'true-myth';

import { insertSorted } from './insertSorted.js';

/** Options of {@link FairQueue.create}. */
export interface FairQueueOptions<Work> {
  /** Share of an organisation, relative to the others. */
  readonly getWeight: (organisation: string) => number;
  /** Time for which work occupies what serves the queue; charged to its organisation. */
  readonly getCostMs: (work: Work) => number;
  /** Order within an organisation. */
  readonly compare: (left: Work, right: Work) => number;
}

const MIN_WEIGHT = 0.001;

/** Queued work of one organisation. */
interface Flow<Work> {
  readonly organisation: string;
  /** Sorted; what stands before `takenCount` has already left the queue. */
  readonly works: readonly Work[];
  readonly takenCount: number;
  /** Virtual time at which the next work starts: cost served so far, divided by the weight. */
  readonly startTag: number;
}

/**
 * Weighted start-time fair queueing between organisations, in a given order within each. Of two
 * organisations that both have queued work, neither gets ahead of its weighted share by more than one
 * work of each.
 */
export class FairQueue<Work extends { readonly organisation: string }> {
  private constructor(
    private readonly opts: FairQueueOptions<Work>,
    private readonly flows: Map<string, Flow<Work>>,
    /** Start tag of the work taken last. */
    private virtualTime: number,
  ) {}

  /** Creates an empty queue. */
  static create<Work extends { readonly organisation: string }>(
    opts: FairQueueOptions<Work>,
  ): FairQueue<Work> {
    return new FairQueue(opts, new Map(), 0);
  }

  /** All queued work. */
  get works(): readonly Work[] {
    return [...this.flows.values()].flatMap(listWaiting);
  }

  /** The work that `take` would return. */
  get next(): Maybe<Work> {
    return Maybe.of(getHead(this.findNextFlow()));
  }

  /** Adds work; what compares as equal stays in order of arrival. */
  push(work: Work): void {
    const { organisation } = work;
    const flow = this.flows.get(organisation);
    const waiting = flow ? listWaiting(flow) : [];
    const lastTag = flow?.startTag ?? 0;
    // An organisation without queued work earns no credit for its idle time.
    const startTag = waiting.length === 0 ? Math.max(lastTag, this.virtualTime) : lastTag;
    insertSorted(waiting, work, this.opts.compare);
    this.flows.set(organisation, { organisation, works: waiting, takenCount: 0, startTag });
  }

  /** Removes the next work and charges its cost to its organisation. */
  take(): Maybe<Work> {
    const flow = this.findNextFlow();
    const work = getHead(flow);
    if (!flow || !work) {
      return Maybe.nothing();
    }
    this.virtualTime = flow.startTag;
    const startTag = flow.startTag + this.opts.getCostMs(work) / this.getWeight(flow.organisation);
    this.flows.set(flow.organisation, { ...flow, takenCount: flow.takenCount + 1, startTag });
    this.deleteIdleFlows();
    return Maybe.just(work);
  }

  /** Removes work without charge; returns false when it is not queued. */
  remove(work: Work): boolean {
    const flow = this.flows.get(work.organisation);
    const waiting = flow ? listWaiting(flow) : [];
    if (!flow || !waiting.includes(work)) {
      return false;
    }
    const works = waiting.filter((other) => other !== work);
    this.flows.set(flow.organisation, { ...flow, works, takenCount: 0 });
    this.deleteIdleFlows();
    return true;
  }

  /** Creates an independent copy. */
  clone(): FairQueue<Work> {
    return new FairQueue(this.opts, new Map(this.flows), this.virtualTime);
  }

  private findNextFlow(): Flow<Work> | undefined {
    let first: Flow<Work> | undefined;
    this.flows.forEach((flow) => {
      if (getHead(flow) && (!first || this.isBefore(flow, first))) {
        first = flow;
      }
    });
    return first;
  }

  /** Deletes idle flows whose start tag has passed: they are equivalent to new ones. */
  private deleteIdleFlows(): void {
    this.flows.forEach((flow, organisation) => {
      if (!getHead(flow) && flow.startTag <= this.virtualTime) {
        this.flows.delete(organisation);
      }
    });
  }

  private getWeight(organisation: string): number {
    return Math.max(MIN_WEIGHT, this.opts.getWeight(organisation));
  }

  private isBefore(left: Flow<Work>, right: Flow<Work>): boolean {
    if (left.startTag !== right.startTag) {
      return left.startTag < right.startTag;
    }
    const [leftHead, rightHead] = [getHead(left), getHead(right)];
    return leftHead && rightHead ? this.opts.compare(leftHead, rightHead) < 0 : false;
  }
}

function getHead<Work>(flow: Flow<Work> | undefined): Work | undefined {
  return flow?.works[flow.takenCount];
}

function listWaiting<Work>(flow: Flow<Work>): Work[] {
  return flow.works.slice(flow.takenCount);
}
