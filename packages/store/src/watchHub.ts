import { Mailbox } from '@galenatiller/tasks';

import type { StoreClient } from './storeClient.js';
import type { WatchEvent } from './storeTypes.js';
import type { WatchOptions } from './watchPrefix.js';

/** Options of {@link WatchHub.create}. */
export interface WatchHubOptions {
  readonly store: StoreClient;
  /** Common prefix of all keys that are watched through the hub. */
  readonly rootPrefix: string;
}

interface Subscriber {
  readonly prefix: string;
  readonly mailbox: Mailbox<WatchEvent>;
  /** First revision that is not fully delivered, and its keys that have been delivered. */
  readonly fromRevision: number;
  readonly keys: ReadonlySet<string>;
}

/** Shares one watch of the store among all prefixes that a node follows. */
export class WatchHub {
  private readonly subscribers = new Map<object, Subscriber>();

  private reopen = new AbortController();

  private constructor(private readonly opts: WatchHubOptions) {}

  /** Creates a hub without subscribers. */
  static create(opts: WatchHubOptions): WatchHub {
    return new WatchHub(opts);
  }

  /** Watches a prefix under the root until the signal aborts, like {@link StoreClient.watch}. */
  async *watch(opts: WatchOptions): AsyncGenerator<WatchEvent, void, void> {
    const { prefix, fromRevision, signal } = opts;
    const id = {};
    const mailbox = Mailbox.create<WatchEvent>();
    const closeMailbox = (): void => {
      mailbox.close();
    };
    signal.addEventListener('abort', closeMailbox, { once: true });
    this.subscribers.set(id, { prefix, mailbox, fromRevision, keys: new Set() });
    // The open watch may already be past the revision from which this subscriber starts.
    this.reopen.abort();
    try {
      yield* signal.aborted ? [] : mailbox.read();
    } finally {
      this.subscribers.delete(id);
      signal.removeEventListener('abort', closeMailbox);
    }
  }

  /** Keeps the watch open until the signal aborts; reopens it when a subscriber joins. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    while (!signal.aborted) {
      this.reopen = new AbortController();
      const reopenSignal = AbortSignal.any([signal, this.reopen.signal]);
      if (this.subscribers.size === 0) {
        await waitForAbort(reopenSignal);
      } else {
        await this.follow(reopenSignal);
      }
    }
  }

  private async follow(signal: AbortSignal): Promise<void> {
    const { store, rootPrefix: prefix } = this.opts;
    const revisions = [...this.subscribers.values()].map(({ fromRevision }) => fromRevision);
    const fromRevision = Math.min(...revisions);
    for await (const event of store.watch({ prefix, fromRevision, signal })) {
      this.subscribers.forEach((subscriber, id) => {
        this.subscribers.set(id, deliver(subscriber, event));
      });
    }
  }
}

function deliver(subscriber: Subscriber, event: WatchEvent): Subscriber {
  if (event.kind !== 'put' && event.kind !== 'delete') {
    subscriber.mailbox.put(event);
    return subscriber;
  }
  const { key, modRevision } = event.kind === 'put' ? event.entry : event;
  const { fromRevision, keys } = subscriber;
  const isDelivered = modRevision < fromRevision || (modRevision === fromRevision && keys.has(key));
  if (isDelivered || !key.startsWith(subscriber.prefix)) {
    return subscriber;
  }
  subscriber.mailbox.put(event);
  const deliveredKeys = modRevision === fromRevision ? keys : [];
  return { ...subscriber, fromRevision: modRevision, keys: new Set([...deliveredKeys, key]) };
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const onAbort = (): void => {
      resolve();
    };
    signal.addEventListener('abort', onAbort, { once: true });
    if (signal.aborted) {
      onAbort();
    }
  });
}
