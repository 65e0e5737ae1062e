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

type StoredEvent =
  StoredItem | { readonly key: string; readonly revision: number; readonly tombstone: true };

/** What the store does to the calls of routers. `forgets`: its history is gone before each watch. */
export type PlatformStoreMode = 'up' | 'busy' | 'silent' | 'reset' | 'forgets';

const MOST_WAIT_MS = 30_000;

/** A stand-in of the platform's metadata store, with its faults on order. */
export class FakePlatformStore {
  /** How calls are answered from now on. */
  mode: PlatformStoreMode = 'up';

  private revision = 1;

  private nextLease = 1;

  private readonly items = new Map<string, StoredItem>();

  private readonly history: StoredEvent[] = [];

  private readonly wakers = new Set<() => void>();

  private readonly calls: string[] = [];

  private server: FakeServer | undefined;

  private constructor() {}

  /** Listens on loopback. */
  static async listen(): Promise<FakePlatformStore> {
    const store = new FakePlatformStore();
    store.server = await FakeServer.listen({
      port: 0,
      handle: (exchange) => store.handle(exchange),
    });
    return store;
  }

  /** IP:PORT. */
  get address(): string {
    return `127.0.0.1:${this.server?.port ?? 0}`;
  }

  /** Paths of the calls so far. */
  get callPaths(): readonly string[] {
    return this.calls;
  }

  /** Keys that are stored, in order. */
  keys(): readonly string[] {
    return [...this.items.keys()].sort();
  }

  /** Writes a key, as the operator or a worker does. */
  put(opts: { readonly key: string; readonly value: object; readonly lease?: number }): void {
    const { key, lease = 0 } = opts;
    this.write({ key, value: Buffer.from(JSON.stringify(opts.value)).toString('base64'), lease });
  }

  /** Removes a key. */
  remove(key: string): void {
    this.revision += 1;
    this.items.delete(key);
    this.tell({ key, revision: this.revision, tombstone: true });
  }

  /** Stops listening. */
  async close(): Promise<void> {
    await this.server?.stop();
  }

  private write(opts: StoredWrite): void {
    this.revision += 1;
    const created = this.items.get(opts.key)?.created ?? this.revision;
    const item = { ...opts, revision: this.revision, created };
    this.items.set(opts.key, item);
    this.tell(item);
  }

  private tell(event: StoredEvent): void {
    this.history.push(event);
    [...this.wakers].forEach((wake) => wake());
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
      answer(exchange, 503, {});
      return;
    }
    await this.answerCall(exchange, url);
  }

  private async answerCall(exchange: FakeExchange, url: URL): Promise<void> {
    const { pathname, searchParams } = url;
    const prefix = searchParams.get('prefix') ?? '';
    if (pathname === '/-/kv-range') {
      const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix));
      answer(exchange, 200, { items, has_more: false, store_revision: this.revision });
    } else if (pathname === '/-/kv-watch') {
      await this.watch(exchange, prefix, searchParams);
    } else if (pathname === '/-/kv-lease') {
      const lease = this.nextLease;
      this.nextLease += 1;
      answer(exchange, 200, { lease, ttl_ms: 3_000 });
    } else if (pathname === '/-/kv-txn') {
      const { puts } = JSON.parse(exchange.text) as { readonly puts: readonly StoredWrite[] };
      puts.forEach((put) => this.write(put));
      answer(exchange, 200, { revision: this.revision });
    } else {
      answer(exchange, 200, { ttl_ms: 3_000 });
    }
  }

  private async watch(
    exchange: FakeExchange,
    prefix: string,
    query: URLSearchParams,
  ): Promise<void> {
    const after = Number(query.get('after'));
    const waitMs = Math.min(MOST_WAIT_MS, Number(query.get('wait_ms')));
    if (this.mode === 'forgets') {
      this.mode = 'up';
      answer(exchange, 410, {});
      return;
    }
    const found = (): StoredEvent[] =>
      this.history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
    if (found().length === 0) {
      await this.changed(waitMs, exchange.signal);
    }
    answer(exchange, 200, { events: found(), store_revision: this.revision });
  }

  private changed(waitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.wakers.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.wakers.add(finish);
      signal.addEventListener('abort', finish, { once: true });
    });
  }
}

function answer(exchange: FakeExchange, status: number, body: object): void {
  exchange.response.writeHead(status, { 'Content-Type': 'application/json' });
  exchange.response.end(JSON.stringify(body));
}
