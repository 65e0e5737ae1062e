/**
 * Stand-in of the platform's metadata store, as PROTOCOL.md describes it. Each router gets an address
 * of its own, so that the store can tell the routers apart.
 */
import { createServer } from 'node:http';

import { listen } from './listen.mjs';

const MAX_WAIT_MS = 30_000;
const MIN_LEASE_MS = 1_000;
const KEEP_PATH = '/-/kv-keep/';
const END_PATH = '/-/kv-lease-end/';

export class Store {
  revision = 100;

  nextLease = 1;

  items = new Map();

  history = [];

  waiters = new Set();

  leases = new Map();

  /** Opens an address for one caller, and returns it as IP:PORT. */
  async open() {
    const server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.handle(request, response, Buffer.concat(chunks)));
    });
    server.keepAliveTimeout = 60_000;
    return listen(server, '127.0.0.1');
  }

  /** Writes as the operator or a worker; the return is the acknowledgement. */
  put(key, value) {
    this.write({ key, value: Buffer.from(JSON.stringify(value)).toString('base64'), lease: 0 });
  }

  /** Reads as the operator; undefined if there is no such key. */
  read(key) {
    const item = this.items.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
  }

  remove(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.recordEvent({ key, revision: this.revision, tombstone: true });
    }
  }

  write({ key, value, lease }) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease };
    this.items.set(key, item);
    this.recordEvent(item);
  }

  recordEvent(event) {
    this.history.push(event);
    [...this.waiters].forEach(({ wake }) => wake());
  }

  handle(request, response, bytes) {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const body = bytes.length > 0 ? JSON.parse(bytes.toString()) : {};
    const respond = (status, value) => {
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify(value));
    };
    if (pathname === '/-/kv-watch') {
      this.watch(searchParams, response, respond);
    } else if (pathname === '/-/kv-range') {
      respond(200, this.findRange(searchParams));
    } else if (pathname === '/-/kv-txn' && this.lossOfNext) {
      this.lose(body, request.socket);
    } else if (pathname === '/-/kv-txn') {
      this.transact(body, respond);
    } else {
      this.handleLease(pathname, body, respond);
    }
  }

  /** Loses the answer to the next write, and does the write later. */
  loseNextWrite(loss) {
    this.lossOfNext = loss;
  }

  lose(body, socket) {
    const { lateMs, onLost, onDone } = this.lossOfNext;
    this.lossOfNext = undefined;
    socket.destroy();
    onLost(body.puts);
    setTimeout(() => this.transact(body, onDone), lateMs);
  }

  findRange(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const items = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return { items, has_more: false, store_revision: this.revision };
  }

  handleLease(pathname, body, respond) {
    if (pathname === '/-/kv-lease') {
      const lease = this.nextLease;
      this.nextLease += 1;
      const ttlMs = Math.max(MIN_LEASE_MS, body.ttl_ms);
      this.leases.set(lease, { ttlMs, timer: this.expireAfter(lease, ttlMs) });
      respond(200, { lease, ttl_ms: ttlMs });
    } else if (pathname.startsWith(KEEP_PATH)) {
      const lease = Number(pathname.slice(KEEP_PATH.length));
      const known = this.leases.get(lease);
      if (known) {
        clearTimeout(known.timer);
        known.timer = this.expireAfter(lease, known.ttlMs);
      }
      respond(known ? 200 : 404, known ? { ttl_ms: known.ttlMs } : {});
    } else if (pathname.startsWith(END_PATH)) {
      this.endLease(Number(pathname.slice(END_PATH.length)));
      respond(200, {});
    } else {
      respond(404, {});
    }
  }

  expireAfter(lease, ttlMs) {
    return setTimeout(() => this.endLease(lease), ttlMs);
  }

  endLease(lease) {
    clearTimeout(this.leases.get(lease)?.timer);
    this.leases.delete(lease);
    [...this.items.values()]
      .filter((item) => item.lease === lease)
      .forEach(({ key }) => this.remove(key));
  }

  transact({ expected_rev: expected = [], puts = [], remove = [] }, respond) {
    const isChanged = ({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision;
    if (expected.some(isChanged)) {
      respond(412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) });
      return;
    }
    if (puts.some(({ lease }) => lease > 0 && !this.leases.has(lease))) {
      respond(404, {});
      return;
    }
    puts.forEach((put) => this.write(put));
    remove.forEach((key) => this.remove(key));
    respond(200, { revision: this.revision });
  }

  watch(query, response, respond) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait_ms')));
    const find = () =>
      this.history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
    const waiter = { prefix };
    let timer;
    const end = () => {
      clearTimeout(timer);
      this.waiters.delete(waiter);
    };
    const finish = () => {
      end();
      respond(200, { events: find(), store_revision: this.revision });
    };
    waiter.wake = () => {
      if (find().length > 0) {
        finish();
      }
    };
    timer = setTimeout(finish, waitMs);
    this.waiters.add(waiter);
    response.once('close', end);
    waiter.wake();
  }
}
