import { FakeServer } from '../fakeServer.js';
import type { FakeExchange } from '../fakeServer.js';

/** Options of {@link FakeLoadWorker.listen}. */
export interface FakeLoadWorkerOptions {
  readonly id: string;
  readonly service: string;
  /** Time to process a call, and a batch call of a stage. */
  readonly processingMs: number;
  /** Events of a stream, and the time between two of them. */
  readonly events: number;
  readonly gapMs: number;
}

interface BatchCall {
  readonly items: readonly unknown[];
}

/** Response body of each call that is not a stream. */
const BODY = Buffer.from(JSON.stringify({ result: 'x'.repeat(200) }));

const SLOTS = 8;

/** A fake of a worker of the platform for measurements: it keeps no record of its runs. */
export class FakeLoadWorker {
  private server: FakeServer | undefined;

  private results = 0;

  private sequence = 0;

  private constructor(private readonly opts: FakeLoadWorkerOptions) {}

  /** Starts a worker on the loopback address. */
  static async listen(opts: FakeLoadWorkerOptions): Promise<FakeLoadWorker> {
    const worker = new FakeLoadWorker(opts);
    worker.server = await FakeServer.listen({
      port: 0,
      handle: (exchange) => worker.handle(exchange),
    });
    return worker;
  }

  /** Key of the worker's entry in the store. */
  get key(): string {
    return `servers/${this.opts.id}`;
  }

  /** Creates the next state of the worker's entry in the store. */
  createEntry(): object {
    this.sequence += 1;
    return {
      service: this.opts.service,
      address: this.address,
      zone: 'zone-a',
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      born: 1,
      cold_left_ms: 0,
      sequence: this.sequence,
    };
  }

  /** Stops the server. */
  async close(): Promise<void> {
    await this.server?.stop();
  }

  private get address(): string {
    return `127.0.0.1:${this.server?.port ?? 0}`;
  }

  private async handle(exchange: FakeExchange): Promise<void> {
    const { response, path, text, header } = exchange;
    response.setHeader('X-Server-Load', `1,0,${SLOTS}`);
    if (path === '/-/stage-free') {
      response.end('{}');
      return;
    }
    await pause(this.opts.processingMs);
    if (path === '/-/stage-run') {
      const { items } = JSON.parse(text) as BatchCall;
      const results = items.map(() => ({ handle: this.createHandle() }));
      response.setHeader('Content-Type', 'application/json');
      response.end(JSON.stringify({ items: results }));
      return;
    }
    response.setHeader('X-Request-Id', header('x-request-id'));
    response.setHeader('X-Server-Seal', 'seal');
    response.setHeader('X-Instance-Id', this.opts.id);
    if (path.startsWith('/stream/')) {
      await this.sendEvents(exchange);
      return;
    }
    response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': BODY.length });
    response.end(BODY);
  }

  private async sendEvents({ response, signal }: FakeExchange): Promise<void> {
    response.writeHead(200, { 'Content-Type': 'text/event-stream' });
    for (let event = 1; event <= this.opts.events && !signal.aborted; event += 1) {
      response.write(`id: ${event}\ndata: {"token":"word-${event}"}\n\n`);
      await pause(this.opts.gapMs);
    }
    response.end();
  }

  private createHandle(): string {
    this.results += 1;
    return `${this.address}/result-${this.results}`;
  }
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
