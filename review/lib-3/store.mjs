/** A stand-in for the platform's metadata store (PROTOCOL.md): items, watches, transactions and leases. */
import { createServer } from 'node:http';

const HISTORY_MS = 20_000;
const EXPIRY_CHECK_MS = 50;
/** An entry of a worker is removed after three heartbeats of silence. */
const SILENCE_MS = 3_600;

export class Store {
  revision = 1;

  items = new Map();

  history = [];

  leases = new Map();

  beats = new Map();

  waiters = new Set();

  nextLease = 1;

  static async listen() {
    const store = new Store();
    store.server = createServer((request, response) => store.serve(request, response));
    await new Promise((resolve) => {
      store.server.listen(0, '127.0.0.1', resolve);
    });
    store.address = `127.0.0.1:${store.server.address().port}`;
    store.timer = setInterval(() => store.expire(), EXPIRY_CHECK_MS);
    return store;
  }

  /** Writes a key as the operator does. */
  put(key, value, lease = 0) {
    this.write({ key, value: Buffer.from(JSON.stringify(value)).toString('base64'), lease });
  }

  /** Writes the entry of a worker, which is removed when the worker falls silent. */
  beat(id, value) {
    this.beats.set(id, Date.now());
    this.put(`servers/${id}`, value);
  }

  remove(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.record({ key, revision: this.revision, tombstone: true });
    }
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  write({ key, value, lease }) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease };
    this.items.set(key, item);
    this.record(item);
  }

  record(event) {
    this.history.push({ event, atMs: Date.now() });
    while (this.history[0].atMs < Date.now() - HISTORY_MS) {
      this.lostUpTo = this.history.shift().event.revision;
    }
    [...this.waiters].forEach((check) => check());
  }

  expire() {
    const nowMs = Date.now();
    for (const [id, lease] of this.leases) {
      if (lease.endsAtMs <= nowMs) {
        this.endLease(id);
      }
    }
    for (const [id, atMs] of this.beats) {
      if (nowMs - atMs > SILENCE_MS) {
        this.beats.delete(id);
        this.remove(`servers/${id}`);
      }
    }
  }

  endLease(id) {
    this.leases.delete(id);
    [...this.items.values()]
      .filter(({ lease }) => lease === id)
      .forEach(({ key }) => this.remove(key));
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString('utf8')) : {};
    const url = new URL(request.url, 'http://store');
    const send = (status, value) => {
      if (!response.destroyed) {
        response.writeHead(status, { 'Content-Type': 'application/json' });
        response.end(JSON.stringify(value));
      }
    };
    if (url.pathname === '/-/kv-watch') {
      this.watch(url.searchParams, response, send);
    } else {
      send(...(this.answerLease(url.pathname, body) ?? this.answer(url, body)));
    }
  }

  /** Status and body of the answer to a call about items. */
  answer({ pathname, searchParams }, body) {
    switch (pathname) {
      case '/-/kv-key': {
        const item = this.items.get(searchParams.get('key'));
        return [item ? 200 : 404, { ...item, store_revision: this.revision }];
      }
      case '/-/kv-range':
        return [200, this.range(searchParams)];
      case '/-/kv-txn':
        return this.transact(body);
      case '/stand-in/beat':
        // Not a call of the platform: how the workers of these tests reach the store.
        this.beat(body.id, body.entry);
        return [200, {}];
      default:
        return [404, {}];
    }
  }

  /** The same for a call about leases; undefined for others. */
  answerLease(pathname, { ttl_ms: ttlMs }) {
    const id = Number(pathname.split('/').at(-1));
    if (pathname === '/-/kv-lease') {
      const lease = this.nextLease;
      this.nextLease += 1;
      this.leases.set(lease, { ttlMs, endsAtMs: Date.now() + ttlMs });
      return [200, { lease, ttl_ms: ttlMs }];
    }
    if (pathname.startsWith('/-/kv-keep/')) {
      const lease = this.leases.get(id);
      if (lease) {
        lease.endsAtMs = Date.now() + lease.ttlMs;
      }
      return [lease ? 200 : 404, {}];
    }
    if (pathname.startsWith('/-/kv-lease-end/')) {
      this.endLease(id);
      return [200, {}];
    }
    return undefined;
  }

  range(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const items = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return { items, has_more: false, store_revision: this.revision };
  }

  watch(query, response, send) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    if (after < (this.lostUpTo ?? 0)) {
      send(410, {});
      return;
    }
    const finish = (mustEnd) => {
      const events = this.history
        .map(({ event }) => event)
        .filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
      if (events.length > 0 || mustEnd) {
        this.waiters.delete(check);
        clearTimeout(timer);
        send(200, { events, store_revision: this.revision });
      }
    };
    const check = () => finish(false);
    const timer = setTimeout(() => finish(true), Math.min(30_000, Number(query.get('wait_ms'))));
    this.waiters.add(check);
    response.once('close', () => {
      this.waiters.delete(check);
      clearTimeout(timer);
    });
    check();
  }

  transact({ expected_rev: expected = [], puts = [], remove = [] }) {
    const revisionOf = (key) => this.items.get(key)?.revision ?? 0;
    if (expected.some(({ key, revision }) => revisionOf(key) !== revision)) {
      return [412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) }];
    }
    if (puts.some(({ lease }) => lease && !this.leases.has(lease))) {
      return [404, {}];
    }
    puts.forEach(({ key, value, lease = 0 }) => this.write({ key, value, lease }));
    remove.forEach((key) => this.remove(key));
    return [200, { revision: this.revision }];
  }
}
