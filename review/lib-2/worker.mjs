// A stand-in of a model worker: registers itself, answers with events, and can crash and come back.
import { createServer } from 'node:http';

import { sleep } from './routers.mjs';

export class Worker {
  /** Requests that have reached this worker, in order: id, atMs, by, and whether it ran. */
  arrivals = [];

  state = 'ready';

  #open = new Set();

  constructor({ store, service, host, zone, name, onRequest, beatMs = 1200, version = 'v1' }) {
    Object.assign(this, { store, service, host, zone, name, onRequest, beatMs, version });
  }

  /** Starts a new incarnation on the same address, with a new id. */
  async start() {
    this.starts = (this.starts ?? 0) + 1;
    this.id = `i-${this.name}-${this.starts}`;
    this.born = Date.now();
    this.sequence = 0;
    this.server = createServer((request, response) => this.#receive(request, response));
    this.server.keepAliveTimeout = 30_000;
    this.server.on('connection', (socket) => {
      this.#open.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => this.#open.delete(socket));
    });
    await new Promise((resolve) => {
      this.server.listen(this.port ?? 0, this.host, resolve);
    });
    this.port = this.server.address().port;
    this.isUp = true;
    this.#register();
    this.beat = setInterval(() => this.#register(), this.beatMs);
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  #register() {
    this.sequence += 1;
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: 96,
      state: this.state,
      cold_left_ms: Math.max(0, (this.coldUntilMs ?? 0) - Date.now()),
      stage: 'both',
      models: [{ name: 'm', version: 1, adapters: [] }],
      sequence: this.sequence,
      born: this.born,
    });
  }

  /** Reports that it leaves; it goes on serving. */
  drain() {
    this.state = 'draining';
    this.#register();
  }

  /** Becomes cold, as a worker may at any moment, and says so in its entry. */
  turnCold(coldMs) {
    this.coldUntilMs = Date.now() + coldMs;
    this.#register();
  }

  /** The process ends: its port refuses, and its connections are reset. Its entry ends after three missed beats. */
  crash(backAfterMs) {
    if (!this.isUp) return;
    this.isUp = false;
    clearInterval(this.beat);
    const { id } = this;
    setTimeout(() => this.store.remove(`servers/${id}`), 3 * this.beatMs);
    this.server.close();
    this.#open.forEach((socket) => socket.resetAndDestroy());
    if (backAfterMs !== undefined) setTimeout(() => this.isEnded || this.start(), backAfterMs);
  }

  end() {
    this.isEnded = true;
    clearInterval(this.beat);
    this.server.close();
    this.#open.forEach((socket) => socket.destroy());
  }

  async #receive(request, response) {
    const { headers } = request;
    const id = headers['x-request-id'] ?? '';
    if ((headers['x-expect-instance'] ?? this.id) !== this.id) {
      response.writeHead(421, { 'X-Request-Id': id, 'X-Instance-Id': this.id }).end();
      return;
    }
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks).toString('utf8');
    const arrival = {
      id,
      atMs: Date.now(),
      by: request.socket.remoteAddress,
      worker: this.name,
      start: this.id,
      born: this.born,
    };
    this.arrivals.push(arrival);
    await this.onRequest({ worker: this, request, response, id, body, arrival });
  }
}

export const sealed = (id, more = {}) => ({
  'X-Request-Id': id,
  'X-Server-Seal': '3e1b.07.5a2.600.0.c9f2a4d1',
  ...more,
});

/** Answers a call with a stream of events, unless its worker crashes or its caller leaves. */
export async function stream({ worker, response, id, arrival, prefillMs, events, eventMs }) {
  const isAlive = () => worker.isUp && worker.id === arrival.start && !response.destroyed;
  await sleep(prefillMs);
  if (!isAlive()) {
    return;
  }
  response.writeHead(200, sealed(id, { 'Content-Type': 'text/event-stream' }));
  for (let event = 1; event <= events && isAlive(); event += 1) {
    response.write(`id: ${event}\ndata: token token token token\n\n`);
    await sleep(eventMs);
  }
  if (isAlive()) {
    response.end();
  }
}
