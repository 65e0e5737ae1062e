// A stand-in of the platform's metadata store: items, watches, leases that end, and conditions.
import { createServer } from 'node:http';

/** Items of one page of a range. */
const MAX_ITEMS = 500;

const NOT_FOUND = { status: 404, value: {} };

export class Store {
  revision = 100;

  items = new Map();

  history = [];

  waiting = new Set();

  leases = new Map();

  nextLease = 1000;

  calls = [];

  /** Listens on a loopback address; resolves to IP:PORT. */
  async listen(host) {
    this.server = createServer((request, response) => this.#receive(request, response));
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => {
      this.server.listen(0, host, resolve);
    });
    return `${host}:${this.server.address().port}`;
  }

  /** Writes a key, as the operator or a worker does; the returned time is that of the acknowledgement. */
  put(key, value) {
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    return Date.now();
  }

  remove(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.#record({ key, revision: this.revision, tombstone: true });
    }
  }

  keys(prefix) {
    return [...this.items.keys()].filter((key) => key.startsWith(prefix));
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
    this.leases.forEach(({ timer }) => clearTimeout(timer));
  }

  #write(key, value, lease) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease };
    this.items.set(key, item);
    this.#record(item);
  }

  #record(event) {
    this.history.push(event);
    [...this.waiting].forEach((wake) => wake());
  }

  #endLease(id) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    [...this.items.values()]
      .filter(({ lease }) => lease === id)
      .forEach(({ key }) => this.remove(key));
  }

  #armLease(id, ttlMs) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.set(id, { ttlMs, timer: setTimeout(() => this.#endLease(id), ttlMs) });
  }

  async #receive(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, 'http://store');
    this.calls.push(url.pathname);
    const text = Buffer.concat(chunks).toString('utf8');
    const { status, value } = await this.#answer({
      url,
      body: text ? JSON.parse(text) : {},
      response,
    });
    if (!response.destroyed) {
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify(value));
    }
  }

  #answer({ url, body, response }) {
    const path = url.pathname;
    const prefix = url.searchParams.get('prefix') ?? '';
    switch (path.split('/')[2]) {
      case 'kv-key':
        return this.#readKey(url.searchParams.get('key'));
      case 'kv-range':
        return this.#readRange(prefix, url.searchParams.get('after') ?? '');
      case 'kv-watch':
        return this.#watch({ prefix, query: url.searchParams, response });
      case 'kv-lease':
        return this.#grantLease(body.ttl_ms);
      case 'kv-keep':
        return this.#keepLease(Number(path.split('/').at(-1)));
      case 'kv-lease-end':
        this.#endLease(Number(path.split('/').at(-1)));
        return { status: 200, value: {} };
      case 'kv-txn':
        return this.#commit(body);
      default:
        return NOT_FOUND;
    }
  }

  #readKey(key) {
    const item = this.items.get(key);
    return item ? { status: 200, value: { ...item, store_revision: this.revision } } : NOT_FOUND;
  }

  #readRange(prefix, after) {
    const found = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const value = {
      items: found.slice(0, MAX_ITEMS),
      has_more: found.length > MAX_ITEMS,
      store_revision: this.revision,
    };
    return { status: 200, value };
  }

  async #watch({ prefix, query, response }) {
    const after = Number(query.get('after'));
    const waitMs = Math.min(30_000, Number(query.get('wait_ms')));
    const find = () =>
      this.history.filter((event) => event.key.startsWith(prefix) && event.revision > after);
    if (find().length === 0) {
      await this.#waitFor({ isDone: () => find().length > 0, waitMs, response });
    }
    return { status: 200, value: { events: find(), store_revision: this.revision } };
  }

  #waitFor({ isDone, waitMs, response }) {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.waiting.delete(check);
        resolve();
      };
      const check = () => isDone() && end();
      const timer = setTimeout(end, waitMs);
      this.waiting.add(check);
      response.once('close', end);
    });
  }

  #grantLease(ttlMs) {
    const id = this.nextLease;
    this.nextLease += 1;
    this.#armLease(id, ttlMs);
    return { status: 200, value: { lease: id, ttl_ms: ttlMs } };
  }

  #keepLease(id) {
    const lease = this.leases.get(id);
    if (!lease) {
      return NOT_FOUND;
    }
    this.#armLease(id, lease.ttlMs);
    return { status: 200, value: { ttl_ms: lease.ttlMs } };
  }

  #commit({ expected_rev: expected = [], puts = [], remove = [] }) {
    if (puts.some(({ lease }) => lease && !this.leases.has(lease))) {
      return NOT_FOUND;
    }
    const revisionOf = (key) => this.items.get(key)?.revision ?? 0;
    if (expected.some(({ key, revision }) => revisionOf(key) !== revision)) {
      return {
        status: 412,
        value: { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) },
      };
    }
    puts.forEach(({ key, value, lease }) => this.#write(key, value, lease ?? 0));
    remove.forEach((key) => this.remove(key));
    return { status: 200, value: { revision: this.revision } };
  }
}
