import { Maybe } from 'true-myth';

import type { CreateQueueOptions, QueuedRequest } from './queuePolicy.js';

/** Minimum cost of a request, so that requests of unknown run time count too. */
const MIN_COST_MS = 1;
const MIN_WEIGHT = 0.001;

/** Queued requests of one organisation. */
interface Flow<Request> {
  readonly organisation: string;
  /** Sorted by deadline, earliest first; those before `takenCount` have already left the queue. */
  readonly requests: readonly Request[];
  readonly takenCount: number;
  /** Virtual time at which the next request starts: cost served so far, divided by the weight. */
  readonly startTag: number;
}

/**
 * Weighted start-time fair queueing between organisations, earliest deadline first within each. Of
 * two organisations that both have queued requests, neither gets ahead of its weighted share by more
 * than one request of each.
 */
export class FairQueue<Request extends QueuedRequest> {
  private constructor(
    private readonly opts: CreateQueueOptions,
    private readonly flows: Map<string, Flow<Request>>,
    /** Start tag of the request taken last. */
    private virtualTime: number,
  ) {}

  /** Creates an empty queue. */
  static create<Request extends QueuedRequest>(opts: CreateQueueOptions): FairQueue<Request> {
    return new FairQueue(opts, new Map(), 0);
  }

  /** All queued requests. */
  get requests(): readonly Request[] {
    return [...this.flows.values()].flatMap(listWaiting);
  }

  /** The request that `take` would return. */
  get next(): Maybe<Request> {
    return Maybe.of(getHead(this.findNextFlow()));
  }

  /** Adds a request. */
  push(request: Request): void {
    const { organisation } = request;
    const flow = this.flows.get(organisation);
    const waiting = flow ? listWaiting(flow) : [];
    const lastTag = flow?.startTag ?? 0;
    // An organisation without queued requests earns no credit for its idle time.
    const startTag = waiting.length === 0 ? Math.max(lastTag, this.virtualTime) : lastTag;
    const requests = insertByDeadline(waiting, request);
    this.flows.set(organisation, { organisation, requests, takenCount: 0, startTag });
  }

  /** Removes the next request and charges its cost to its organisation. */
  take(): Maybe<Request> {
    const flow = this.findNextFlow();
    const request = getHead(flow);
    if (!flow || !request) {
      return Maybe.nothing();
    }
    this.virtualTime = flow.startTag;
    const startTag = flow.startTag + getCostMs(request) / this.getWeight(flow.organisation);
    this.flows.set(flow.organisation, { ...flow, takenCount: flow.takenCount + 1, startTag });
    this.deleteIdleFlows();
    return Maybe.just(request);
  }

  /** Removes a request without charge; returns false when it is not queued. */
  remove(request: Request): boolean {
    const flow = this.flows.get(request.organisation);
    const waiting = flow ? listWaiting(flow) : [];
    if (!flow || !waiting.includes(request)) {
      return false;
    }
    const requests = waiting.filter((other) => other !== request);
    this.flows.set(flow.organisation, { ...flow, requests, takenCount: 0 });
    this.deleteIdleFlows();
    return true;
  }

  /** Creates an independent copy. */
  clone(): FairQueue<Request> {
    return new FairQueue(this.opts, new Map(this.flows), this.virtualTime);
  }

  private findNextFlow(): Flow<Request> | undefined {
    let first: Flow<Request> | undefined;
    this.flows.forEach((flow) => {
      if (getHead(flow) && (!first || isBefore(flow, first))) {
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
}

/** Cost of a request that is charged to its organisation. */
export function getCostMs(request: QueuedRequest): number {
  return Math.max(MIN_COST_MS, request.expectedRunMs);
}

function getHead<Request>(flow: Flow<Request> | undefined): Request | undefined {
  return flow?.requests[flow.takenCount];
}

function listWaiting<Request>(flow: Flow<Request>): readonly Request[] {
  return flow.requests.slice(flow.takenCount);
}

function isBefore<Request extends QueuedRequest>(
  left: Flow<Request>,
  right: Flow<Request>,
): boolean {
  if (left.startTag !== right.startTag) {
    return left.startTag < right.startTag;
  }
  return (getHead(left)?.deadlineAtMs ?? 0) < (getHead(right)?.deadlineAtMs ?? 0);
}

/** Requests with equal deadlines stay in order of arrival. */
function insertByDeadline<Request extends QueuedRequest>(
  requests: readonly Request[],
  request: Request,
): readonly Request[] {
  let low = 0;
  let high = requests.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((requests[middle]?.deadlineAtMs ?? 0) <= request.deadlineAtMs) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return [...requests.slice(0, low), request, ...requests.slice(low)];
}
