import type { ServerResponse } from 'node:http';

import { FakeServer } from '../fakeServer.js';
import type { FakeExchange } from '../fakeServer.js';

/** A request that a worker accepted. */
export interface WorkerRun {
  readonly path: string;
  readonly text: string;
  readonly header: (name: string) => string;
}

/** Response body of each request that is not a stream. */
export const WORKER_BODY = 'done by the worker';

/** Response body of a stream: one event. */
export const WORKER_EVENT = 'id: 1\ndata: done by the worker\n\n';

/**
 * How a response ends: by length, by closing the connection, by a reset before its end, some time after its
 * bytes or at once with them, or never. `restart` closes the connection like a process that crashed, and another
 * start has the address at once; `silence` closes it, and the address accepts connections without answering.
 * Only the first kind has a length.
 */
export type WorkerResponseEnd =
  'length' | 'close' | 'reset' | 'reset-at-once' | 'never' | 'restart' | 'silence';

/** Delay before a reset, which would otherwise drop the bytes written before it. */
const RESET_AFTER_MS = 30;

/** A fake of a worker of the platform. */
export class FakePlatformWorker {
  /** Time to process a request. */
  processingMs = 0;

  responseEnd: WorkerResponseEnd = 'length';

  /** Whether each answer says that the worker is leaving. */
  isLeaving = false;

  /** Value of Retry-After with which requests are turned away; empty for none. */
  retryAfter = '';

  /** Status of responses. */
  status = 200;

  /** Headers of responses to requests that have run, in addition to the usual ones. */
  responseHeaders: Readonly<Record<string, string>> = {};

  /** Body of a stream. */
  streamText = WORKER_EVENT;

  /** Body of each response that is not a stream. */
  bodyText = WORKER_BODY;

  private isSilent = false;

  private readonly acceptedRuns: WorkerRun[] = [];

  private server: FakeServer | undefined;

  private constructor(private id: string) {}

  /** Starts a worker on the loopback address. */
  static async listen(opts: { readonly id: string }): Promise<FakePlatformWorker> {
    const worker = new FakePlatformWorker(opts.id);
    worker.server = await FakeServer.listen({
      port: 0,
      handle: (exchange) => worker.handle(exchange),
    });
    return worker;
  }

  /** Address as IP:PORT. */
  get address(): string {
    return `127.0.0.1:${this.server?.port ?? 0}`;
  }

  /** Accepted requests, oldest first. */
  get runs(): readonly WorkerRun[] {
    return this.acceptedRuns;
  }

  /** Creates the entry with which the worker registers itself as a target in the store. */
  createTargetEntry(service: string): object {
    const { address } = this;
    return {
      service,
      address,
      zone: 'zone-a',
      version: 'v1',
      slots: 4,
      state: 'ready',
      cold_left_ms: 0,
      sequence: 1,
    };
  }

  /** Stops the server. */
  async close(): Promise<void> {
    await this.server?.stop();
  }

  private async handle(exchange: FakeExchange): Promise<void> {
    const { response, header, url: path, text } = exchange;
    if (this.isLeaving) {
      response.setHeader('Server-Leaving', '1');
    }
    if (this.isSilent) {
      return;
    }
    const isFree = path === '/-/stage-free';
    if (header('x-expect-instance') !== this.id && !isFree) {
      response.writeHead(421, { 'X-Instance-Id': this.id }).end();
      return;
    }
    if (path === '/healthz') {
      response.writeHead(200, { 'X-Instance-Id': this.id, 'Content-Length': '0' }).end();
      return;
    }
    this.acceptedRuns.push({ path, text, header });
    if (this.retryAfter !== '') {
      const headers = { 'X-Not-Executed': '1', 'Retry-After': this.retryAfter };
      response.writeHead(503, { 'X-Request-Id': header('x-request-id'), ...headers }).end();
      return;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, this.processingMs);
    });
    if (this.responseEnd !== 'length') {
      response.removeHeader('Transfer-Encoding');
      response.shouldKeepAlive = false;
    }
    response.writeHead(this.status, {
      'X-Request-Id': header('x-request-id'),
      'X-Server-Seal': 'seal',
      'X-Server-Load': '1,0,4',
      ...this.responseHeaders,
    });
    response.write(path.startsWith('/stream/') ? this.streamText : this.bodyText, () => {
      if (this.responseEnd === 'reset-at-once') {
        response.socket?.resetAndDestroy();
      }
    });
    if (this.responseEnd === 'reset') {
      setTimeout(() => response.socket?.resetAndDestroy(), RESET_AFTER_MS);
      return;
    }
    this.end(response);
  }

  private end(response: ServerResponse): void {
    const { responseEnd } = this;
    if (responseEnd !== 'never' && responseEnd !== 'reset-at-once') {
      response.end();
    }
    if (responseEnd === 'restart') {
      this.id += '-again';
    }
    this.isSilent = responseEnd === 'silence';
  }
}
