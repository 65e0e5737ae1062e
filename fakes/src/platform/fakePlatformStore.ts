import { FakeServer } from '../fakeServer.js';
import type { FakeExchange } from '../fakeServer.js';

interface StoredItem {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface StoredWrite {
  readonly key: string;
  readonly value: string;
  readonly lease: number;
}

interface StoredTransaction {
  readonly expected_rev: readonly { readonly key: string; readonly revision: number }[];
  readonly puts: readonly StoredWrite[];
}

type StoredEvent =
  StoredItem | { readonly key: string; readonly revision: number; readonly tombstone: true };

/**
 * How the store treats calls of routers. `busy` responds with 503, `silent` never responds, and
 * `reset` closes the connection without a response. `forgets` responds to the next watch with 410,
 * because the history is lost, and then changes back to `up`. `breaks-off` and `stalls` send half of the next
 * response and then reset the connection, or nothing more; both change back to `up`.
 */
export type PlatformStoreMode =
  'up' | 'busy' | 'silent' | 'reset' | 'forgets' | 'breaks-off' | 'stalls';

/** How often a limited link carries a part of a response. */
const LINK_INTERVAL_MS = 20;

const MS_PER_S = 1_000;

const MAX_WAIT_MS = 30_000;

/** A fake of the platform's metadata store, with fault injection. */
export class FakePlatformStore {
  /** How the next calls are treated. */
  mode: PlatformStoreMode = 'up';

  /** Era that the store states in all responses. */
  era = 1;

  /** Rate at which the body of a response is sent. */
  linkBytesPerSecond = Infinity;

  private revision = 1;

  private nextLease = 1;

  private readonly items = new Map<string, StoredItem>();

  private readonly history: StoredEvent[] = [];

  /** Watches that wait for a change, each with its prefix. */
  private readonly waiters = new Map<() => void, string>();

  private readonly calls: string[] = [];

  private server: FakeServer | undefined;

  private constructor() {}

  /** Starts a store on the loopback address. */
  static async listen(): Promise<FakePlatformStore> {
    const store = new FakePlatformStore();
    store.server = await FakeServer.listen({
      port: 0,
      handle: (exchange) => store.handle(exchange),
    });
    return store;
  }

  /** Address as IP:PORT. */
  get address(): string {
    return `127.0.0.1:${this.server?.port ?? 0}`;
  }

  /** Paths of all calls, oldest first. */
  get callPaths(): readonly string[] {
    return this.calls;
  }

  /** Returns the stored keys, sorted. */
  keys(): readonly string[] {
    return [...this.items.keys()].sort();
  }

  /** Writes a key, as an operator or a worker would. */
  put(opts: { readonly key: string; readonly value: object; readonly lease?: number }): void {
    const { key, lease = 0 } = opts;
    this.write({ key, value: Buffer.from(JSON.stringify(opts.value)).toString('base64'), lease });
  }

  /** Writes a value that need not be JSON. */
  putText(opts: { readonly key: string; readonly text: string }): void {
    this.write({ key: opts.key, value: Buffer.from(opts.text).toString('base64'), lease: 0 });
  }

  /** Deletes a key. */
  remove(key: string): void {
    this.revision += 1;
    this.items.delete(key);
    this.recordEvent({ key, revision: this.revision, tombstone: true });
  }

  /** Stops the server. */
  async close(): Promise<void> {
    await this.server?.stop();
  }

  private write(opts: StoredWrite): void {
    this.revision += 1;
    const created = this.items.get(opts.key)?.created ?? this.revision;
    const item = { ...opts, revision: this.revision, created };
    this.items.set(opts.key, item);
    this.recordEvent(item);
  }

  /** Revision of the last change of a key; 0 if it does not exist. */
  private revisionOf(key: string): number {
    return this.items.get(key)?.revision ?? 0;
  }

  private recordEvent(event: StoredEvent): void {
    this.history.push(event);
    [...this.waiters]
      .filter(([, prefix]) => event.key.startsWith(prefix))
      .forEach(([wake]) => wake());
  }

  private async handle(exchange: FakeExchange): Promise<void> {
    const url = new URL(exchange.url, 'http://store');
    this.calls.push(url.pathname);
    if (this.mode === 'silent') {
      return;
    }
    if (this.mode === 'reset') {
      exchange.response.destroy();
      return;
    }
    if (this.mode === 'busy') {
      this.respond(exchange, 503, {});
      return;
    }
    await this.dispatch(exchange, url);
  }

  private async dispatch(exchange: FakeExchange, url: URL): Promise<void> {
    const { pathname, searchParams } = url;
    const prefix = searchParams.get('prefix') ?? '';
    if (pathname === '/-/kv-range') {
      const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix));
      this.respond(exchange, 200, { items, has_more: false, store_revision: this.revision });
    } else if (pathname === '/-/kv-watch') {
      await this.watch(exchange, prefix, searchParams);
    } else if (pathname === '/-/kv-lease') {
      const lease = this.nextLease;
      this.nextLease += 1;
      this.respond(exchange, 200, { lease, ttl_ms: 3_000 });
    } else if (pathname === '/-/kv-txn') {
      const { expected_rev: expected, puts } = JSON.parse(exchange.text) as StoredTransaction;
      if (expected.some(({ key, revision }) => this.revisionOf(key) !== revision)) {
        this.respond(exchange, 412, {});
        return;
      }
      puts.forEach((put) => this.write(put));
      this.respond(exchange, 200, { revision: this.revision });
    } else {
      this.respond(exchange, 200, { ttl_ms: 3_000 });
    }
  }

  private async watch(
    exchange: FakeExchange,
    prefix: string,
    query: URLSearchParams,
  ): Promise<void> {
    const afterRevision = Number(query.get('after'));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait_ms')));
    if (this.mode === 'forgets') {
      this.mode = 'up';
      this.respond(exchange, 410, {});
      return;
    }
    const findEvents = (): StoredEvent[] =>
      this.history.filter(
        ({ key, revision }) => key.startsWith(prefix) && revision > afterRevision,
      );
    if (findEvents().length === 0) {
      await this.waitForChange({ prefix, waitMs, signal: exchange.signal });
    }
    this.respond(exchange, 200, { events: findEvents(), store_revision: this.revision });
  }

  private respond(exchange: FakeExchange, status: number, body: object): void {
    const headers = { 'Content-Type': 'application/json', 'Store-Era': String(this.era) };
    exchange.response.writeHead(status, headers);
    const bytes = Buffer.from(JSON.stringify(body));
    const { mode } = this;
    if (mode === 'breaks-off' || mode === 'stalls') {
      this.mode = 'up';
      exchange.response.write(bytes.subarray(0, bytes.length / 2), () => {
        if (mode === 'breaks-off') {
          exchange.response.destroy();
        }
      });
      return;
    }
    if (this.linkBytesPerSecond === Infinity) {
      exchange.response.end(bytes);
      return;
    }
    this.sendSlowly(exchange, bytes);
  }

  private sendSlowly({ response, signal }: FakeExchange, bytes: Buffer): void {
    const partBytes = Math.ceil((this.linkBytesPerSecond * LINK_INTERVAL_MS) / MS_PER_S);
    let sentBytes = 0;
    const timer = setInterval(() => {
      response.write(bytes.subarray(sentBytes, sentBytes + partBytes));
      sentBytes += partBytes;
      if (sentBytes >= bytes.length) {
        clearInterval(timer);
        response.end();
      }
    }, LINK_INTERVAL_MS);
    signal.addEventListener('abort', () => clearInterval(timer), { once: true });
  }

  private waitForChange(opts: {
    readonly prefix: string;
    readonly waitMs: number;
    readonly signal: AbortSignal;
  }): Promise<void> {
    const { prefix, waitMs, signal } = opts;
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiters.set(finish, prefix);
      signal.addEventListener('abort', finish, { once: true });
    });
  }
}
