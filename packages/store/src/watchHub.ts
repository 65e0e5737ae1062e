import { Mailbox } from '@galenatiller/tasks';

import type { StoreClient } from './storeClient.js';
import type { WatchEvent } from './storeTypes.js';
import type { WatchOptions } from './watchPrefix.js';

/** Options of {@link WatchHub.create}. */
export interface WatchHubOptions {
  readonly store: StoreClient;
  /** Prefix of every key that is watched through the hub. */
  readonly rootPrefix: string;
}

interface Subscriber {
  readonly prefix: string;
  readonly mailbox: Mailbox<WatchEvent>;
  /** First revision that the subscriber lacks, and the keys of that revision it has got. */
  readonly fromRevision: number;
  readonly keys: ReadonlySet<string>;
}

/** One watch of the store for all the prefixes that a node follows. */
export class WatchHub {
  private readonly subscribers = new Map<object, Subscriber>();

  private reopen = new AbortController();

  private constructor(private readonly opts: WatchHubOptions) {}

  /** Makes a hub without subscribers. */
  static create(opts: WatchHubOptions): WatchHub {
    return new WatchHub(opts);
  }

  /** Follows a prefix under the root until the signal aborts, as {@link StoreClient.watch} does. */
  async *watch(opts: WatchOptions): AsyncGenerator<WatchEvent, void, void> {
    const { prefix, fromRevision, signal } = opts;
    const id = {};
    const mailbox = Mailbox.create<WatchEvent>();
    const end = (): void => {
      mailbox.close();
    };
    signal.addEventListener('abort', end, { once: true });
    this.subscribers.set(id, { prefix, mailbox, fromRevision, keys: new Set() });
    // The open watch may be past the revision that this subscriber starts from.
    this.reopen.abort();
    try {
      yield* signal.aborted ? [] : mailbox.read();
    } finally {
      this.subscribers.delete(id);
      signal.removeEventListener('abort', end);
    }
  }

  /** The task that keeps the watch open; it is opened anew when a subscriber joins. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    while (!signal.aborted) {
      this.reopen = new AbortController();
      const reopened = AbortSignal.any([signal, this.reopen.signal]);
      if (this.subscribers.size === 0) {
        await aborted(reopened);
      } else {
        await this.follow(reopened);
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
  const isOld = modRevision < fromRevision || (modRevision === fromRevision && keys.has(key));
  if (isOld || !key.startsWith(subscriber.prefix)) {
    return subscriber;
  }
  subscriber.mailbox.put(event);
  const known = modRevision === fromRevision ? keys : [];
  return { ...subscriber, fromRevision: modRevision, keys: new Set([...known, key]) };
}

function aborted(signal: AbortSignal): Promise<void> {
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
