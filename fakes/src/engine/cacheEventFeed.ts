import type { ServerResponse } from 'node:http';

import type { TimerService } from '@galenatiller/timer';

import type { CacheChange } from './prefixCache.js';

/** Options of {@link CacheEventFeed.create}. */
export interface CacheEventFeedOptions {
  readonly timer: TimerService;
  readonly lagMs: number;
  /** Draws whether an event is lost. */
  readonly isLost: () => boolean;
  readonly startId: () => string;
}

/** Publishes cache changes late and with gaps, as server-sent events. */
export class CacheEventFeed {
  private readonly subscribers = new Set<ServerResponse>();

  private sequence = 0;

  private constructor(private readonly opts: CacheEventFeedOptions) {}

  /** Makes a feed without subscribers. */
  static create(opts: CacheEventFeedOptions): CacheEventFeed {
    return new CacheEventFeed(opts);
  }

  /** Adds a subscriber until its connection closes. */
  subscribe(response: ServerResponse): void {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    this.subscribers.add(response);
    response.on('close', () => {
      this.subscribers.delete(response);
    });
  }

  /** Publishes a change after the lag, unless it is lost. */
  publish(change: CacheChange): void {
    this.sequence += 1;
    if (this.opts.isLost()) {
      return;
    }
    const event = { sequence: this.sequence, startId: this.opts.startId(), ...change };
    this.opts.timer.after({
      delayMs: this.opts.lagMs,
      notify: () => {
        this.subscribers.forEach((response) => {
          response.write(`data: ${JSON.stringify(event)}\n\n`);
        });
      },
    });
  }
}
