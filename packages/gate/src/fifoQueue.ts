import { Maybe } from 'true-myth';

import type { RequestQueue, QueuedRequest } from './queuePolicy.js';

/** Queue in order of arrival that drops the newest requests when it is full. */
export class FifoQueue<Request extends QueuedRequest> implements RequestQueue<Request> {
  private requests: readonly Request[] = [];

  private constructor() {}

  /** Creates an empty queue. */
  static create<Request extends QueuedRequest>(): FifoQueue<Request> {
    return new FifoQueue();
  }

  /** Number of queued requests. */
  get size(): number {
    return this.requests.length;
  }

  /** Adds a request at the end. */
  push(request: Request): void {
    this.requests = [...this.requests, request];
  }

  /** Removes and returns the oldest request. */
  take(): Maybe<Request> {
    const [request, ...rest] = this.requests;
    this.requests = rest;
    return Maybe.of(request);
  }

  /** Removes a request; returns false when it is not queued. */
  remove(request: Request): boolean {
    const isWaiting = this.requests.includes(request);
    this.requests = this.requests.filter((other) => other !== request);
    return isWaiting;
  }

  /** Never removes late requests. */
  // eslint-disable-next-line class-methods-use-this
  expire(): readonly Request[] {
    return [];
  }

  /** Removes the newest requests over the limit. */
  shed(opts: { readonly maxSize: number }): readonly Request[] {
    const shed = this.requests.slice(opts.maxSize);
    this.requests = this.requests.slice(0, opts.maxSize);
    return shed;
  }

  /** All queued requests, since each of them runs before a new one. */
  listRequestsAhead(): readonly Request[] {
    return this.requests;
  }
}
