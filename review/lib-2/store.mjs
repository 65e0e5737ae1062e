// A stand-in of the platform's metadata store: items, watches, leases that end, and conditions.
import { createServer } from 'node:http';

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
    await new Promise((resolve) => this.server.listen(0, host, resolve));
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
    [...this.items.values()].filter(({ lease }) => lease === id).forEach(({ key }) => this.remove(key));
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
    const [status, body] = await this.#answer(request.method, url, text ? JSON.parse(text) : {}, response);
    if (!response.destroyed) {
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify(body));
    }
  }

  async #answer(method, url, body, response) {
    const path = url.pathname;
    const prefix = url.searchParams.get('prefix') ?? '';
    if (path === '/-/kv-key') {
      const item = this.items.get(url.searchParams.get('key'));
      return item ? [200, { ...item, store_revision: this.revision }] : [404, {}];
    }
    if (path === '/-/kv-range') {
      const after = url.searchParams.get('after') ?? '';
      const found = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return [200, { items: found.slice(0, 500), has_more: found.length > 500, store_revision: this.revision }];
    }
    if (path === '/-/kv-watch') {
      const after = Number(url.searchParams.get('after'));
      const waitMs = Math.min(30_000, Number(url.searchParams.get('wait_ms')));
      const find = () => this.history.filter((event) => event.key.startsWith(prefix) && event.revision > after);
      if (find().length === 0) {
        await new Promise((resolve) => {
          const end = () => {
            clearTimeout(timer);
            this.waiting.delete(check);
            resolve();
          };
          const check = () => find().length > 0 && end();
          const timer = setTimeout(end, waitMs);
          this.waiting.add(check);
          response.once('close', end);
        });
      }
      return [200, { events: find(), store_revision: this.revision }];
    }
    if (path === '/-/kv-lease') {
      const id = this.nextLease++;
      this.#armLease(id, body.ttl_ms);
      return [200, { lease: id, ttl_ms: body.ttl_ms }];
    }
    if (path.startsWith('/-/kv-keep/')) {
      const id = Number(path.split('/').at(-1));
      const lease = this.leases.get(id);
      if (!lease) return [404, {}];
      this.#armLease(id, lease.ttlMs);
      return [200, { ttl_ms: lease.ttlMs }];
    }
    if (path.startsWith('/-/kv-lease-end/')) {
      this.#endLease(Number(path.split('/').at(-1)));
      return [200, {}];
    }
    if (path === '/-/kv-txn') {
      const { expected_rev: expected = [], puts = [], remove = [] } = body;
      if (puts.some(({ lease }) => lease && !this.leases.has(lease))) return [404, {}];
      const failed = expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision);
      if (failed) {
        return [412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) }];
      }
      puts.forEach(({ key, value, lease }) => this.#write(key, value, lease ?? 0));
      remove.forEach((key) => this.remove(key));
      return [200, { revision: this.revision }];
    }
    return [404, {}];
  }
}
