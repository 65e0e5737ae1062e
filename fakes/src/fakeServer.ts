import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** An HTTP request and its response, as a fake handles them. */
export interface FakeExchange {
  readonly method: string;
  readonly path: string;
  /** Path and query string, as sent. */
  readonly url: string;
  readonly header: (name: string) => string;
  readonly text: string;
  readonly response: ServerResponse;
  /** Aborts when the response is complete, or when the connection closes before that. */
  readonly signal: AbortSignal;
}

/** Options of {@link FakeServer.listen}. */
export interface FakeServerOptions {
  /** 0 for any free port. */
  readonly port: number;
  readonly handle: (exchange: FakeExchange) => Promise<void>;
}

/** An HTTP server that can stop and start again on the same port. */
export class FakeServer {
  private constructor(
    private readonly server: Server,
    readonly port: number,
  ) {}

  /** Starts a server on the loopback address. */
  static async listen(opts: FakeServerOptions): Promise<FakeServer> {
    const server = createServer((request, response) => {
      serve({ request, response, handle: opts.handle }).catch(() => {
        response.destroy();
      });
    });
    await listenOn(server, opts.port);
    return new FakeServer(server, (server.address() as AddressInfo).port);
  }

  /** Base URL of the server. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Stops listening and closes every connection, as a crash does. */
  async stop(): Promise<void> {
    if (!this.server.listening) {
      return;
    }
    const closed = once(this.server, 'close');
    this.server.close();
    this.server.closeAllConnections();
    await closed;
  }

  /** Starts listening again on the same port. */
  async start(): Promise<void> {
    if (!this.server.listening) {
      await listenOn(this.server, this.port);
    }
  }
}

/** Sends a JSON response, unless the connection is closed or a response has begun. */
export function sendJson(
  response: ServerResponse,
  opts: { readonly status: number; readonly body: unknown },
): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  response.writeHead(opts.status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(opts.body));
}

async function listenOn(server: Server, port: number): Promise<void> {
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
}

async function serve({
  request,
  response,
  handle,
}: {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly handle: FakeServerOptions['handle'];
}): Promise<void> {
  const disconnected = new AbortController();
  response.on('close', () => {
    disconnected.abort();
  });
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  await handle({
    method: request.method ?? 'GET',
    path: (request.url ?? '/').split('?')[0] ?? '/',
    url: request.url ?? '',
    header: (name) => String(request.headers[name] ?? ''),
    text: Buffer.concat(chunks).toString('utf8'),
    response,
    signal: disconnected.signal,
  });
}
