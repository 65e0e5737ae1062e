import { FakeServer } from '../fakeServer.js';
import type { FakeExchange } from '../fakeServer.js';

/** A request that a worker ran. */
export interface WorkerRun {
  readonly path: string;
  readonly text: string;
  readonly header: (name: string) => string;
}

/** The bytes of each answer. */
export const WORKER_BODY = 'done by the worker';

/** One event, for streams. */
export const WORKER_EVENT = 'id: 1\ndata: done by the worker\n\n';

/** How answers end: marked by a length, by the close of the connection, or reset before their end. */
export type WorkerResponseEnd = 'length' | 'close' | 'reset';

/** Time for bytes to leave before a reset would drop them. */
const RESET_AFTER_MS = 30;

/** A stand-in of a plain worker of the platform. */
export class FakePlatformWorker {
  /** Time that a request takes. */
  processingMs = 0;

  responseEnd: WorkerResponseEnd = 'length';

  private readonly done: WorkerRun[] = [];

  private server: FakeServer | undefined;

  private constructor(private readonly id: string) {}

  /** Listens on loopback. */
  static async listen(opts: { readonly id: string }): Promise<FakePlatformWorker> {
    const worker = new FakePlatformWorker(opts.id);
    worker.server = await FakeServer.listen({
      port: 0,
      handle: (exchange) => worker.handle(exchange),
    });
    return worker;
  }

  /** IP:PORT. */
  get address(): string {
    return `127.0.0.1:${this.server?.port ?? 0}`;
  }

  /** Requests that ran, in order. */
  get runs(): readonly WorkerRun[] {
    return this.done;
  }

  /** What the worker writes of itself in the store. */
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

  /** Stops listening. */
  async close(): Promise<void> {
    await this.server?.stop();
  }

  private async handle(exchange: FakeExchange): Promise<void> {
    const { response, header, url: path, text } = exchange;
    if (header('x-expect-instance') !== this.id) {
      response.writeHead(421, { 'X-Instance-Id': this.id }).end();
      return;
    }
    this.done.push({ path, text, header });
    await new Promise((resolve) => {
      setTimeout(resolve, this.processingMs);
    });
    if (this.responseEnd !== 'length') {
      response.removeHeader('Transfer-Encoding');
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      'X-Request-Id': header('x-request-id'),
      'X-Server-Seal': 'seal',
      'X-Server-Load': '1,0,4',
    });
    response.write(path.startsWith('/stream/') ? WORKER_EVENT : WORKER_BODY);
    if (this.responseEnd === 'reset') {
      setTimeout(() => response.socket?.resetAndDestroy(), RESET_AFTER_MS);
      return;
    }
    response.end();
  }
}
