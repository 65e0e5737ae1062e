/** Stand-in of a worker of the platform: registers itself, checks who is meant, and runs requests. */
import { createServer } from 'node:http';

import { listen } from './listen.mjs';

/** A worker writes its entry again at this interval; the entry ends after three of silence. */
const HEARTBEAT_MS = 1_200;
const EXPIRY_MS = 3 * HEARTBEAT_MS;

export class Worker {
  runs = [];

  sequence = 0;

  born = Date.now();

  state = 'ready';

  coldUntilMs = 0;

  /** `run` answers a request; it gets the request, the response, and a function that responds. */
  constructor({ store, id, service, run, zone = 'vw-a', slots = 6, version = 'v1' }) {
    Object.assign(this, { store, id, service, run, zone, slots, version });
  }

  async listen() {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.handle(request, response, Buffer.concat(chunks)));
    });
    this.server.keepAliveTimeout = 60_000;
    this.address = await listen(this.server, '127.0.0.1');
    this.write();
    this.heartbeat = setInterval(() => this.write(), HEARTBEAT_MS);
    return this;
  }

  write() {
    this.sequence += 1;
    this.writtenAtMs = performance.now();
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      cold_left_ms: Math.max(0, Math.round(this.coldUntilMs - performance.now())),
      sequence: this.sequence,
      born: this.born,
    });
  }

  /** Becomes cold for a time, and reports it. */
  becomeCold(forMs) {
    this.coldUntilMs = performance.now() + forMs;
    this.write();
  }

  /** Its entry is removed; it serves on. */
  withdraw() {
    clearInterval(this.heartbeat);
    this.store.remove(`servers/${this.id}`);
  }

  /** Crashes: its entry ends when it has been silent for long enough. */
  crash() {
    this.close();
    const silentMs = performance.now() - this.writtenAtMs;
    setTimeout(() => this.withdraw(), EXPIRY_MS - silentMs);
  }

  /** Ends at once, with all connections. */
  close() {
    clearInterval(this.heartbeat);
    this.server.close();
    this.server.closeAllConnections();
  }

  handle(request, response, body) {
    const id = request.headers['x-request-id'] ?? '';
    if ((request.headers['x-expect-instance'] ?? this.id) !== this.id) {
      response.writeHead(421, { 'X-Instance-Id': this.id, 'X-Request-Id': id }).end();
      return;
    }
    const run = { id, atMs: performance.now(), request, response, body };
    this.runs.push(run);
    const headers = {
      'X-Request-Id': id,
      'X-Instance-Id': this.id,
      'X-Server-Seal': `seal.${this.id}.${id}`,
    };
    const respond = (status, text) => {
      response.writeHead(status, { ...headers, 'Content-Length': Buffer.byteLength(text) });
      response.end(text);
    };
    this.run({ ...run, worker: this, headers, respond });
  }
}
