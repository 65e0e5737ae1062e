import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import type { StoreCallKind } from '@galenatiller/store';

import type { FakeStore, FakeStoreFaults } from './fakeStore.js';

/** Body of `POST /faults`; expiry of all leases and compaction take effect once. */
type StoreFaultCommand = Partial<FakeStoreFaults> & {
  readonly lapseLeases?: boolean;
  readonly compact?: boolean;
};

const CALL_KINDS: Readonly<Record<string, StoreCallKind>> = {
  '/v3/kv/range': 'range',
  '/v3/kv/txn': 'txn',
  '/v3/lease/grant': 'lease-grant',
  '/v3/lease/keepalive': 'lease-keepalive',
  '/v3/lease/revoke': 'lease-revoke',
  '/v3/watch': 'watch',
};

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_BAD_REQUEST = 400;

/**
 * Creates an HTTP server for a fake store. Besides the calls of the store it serves `POST /faults`,
 * which takes a JSON object of faults, and `GET /calls`, which returns the number of calls by kind.
 */
export function createFakeStoreServer(opts: { readonly store: FakeStore }): Server {
  return createServer((request, response) => {
    serve(opts.store, request, response).catch(() => {
      response.destroy();
    });
  });
}

async function serve(
  store: FakeStore,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request);
  const kind = CALL_KINDS[request.url ?? ''];
  if (kind) {
    await serveCall({ store, kind, body, response });
  } else if (request.url === '/faults') {
    serveFaults(store, body, response);
  } else if (request.url === '/calls') {
    response.end(JSON.stringify(store.getCallCounts()));
  } else {
    response.writeHead(HTTP_NOT_FOUND).end();
  }
}

async function serveCall(opts: {
  readonly store: FakeStore;
  readonly kind: StoreCallKind;
  readonly body: string;
  readonly response: ServerResponse;
}): Promise<void> {
  const { store, kind, body, response } = opts;
  const controller = new AbortController();
  response.on('close', () => {
    controller.abort();
  });
  const result = await store.call({ kind, body, signal: controller.signal });
  if (result.isErr) {
    response.destroy();
    return;
  }
  response.writeHead(result.value.status, { 'content-type': 'application/json' });
  for await (const chunk of result.value.chunks) {
    response.write(chunk);
  }
  response.end();
}

function serveFaults(store: FakeStore, body: string, response: ServerResponse): void {
  const command = parseFaultCommand(body);
  if (!command) {
    response.writeHead(HTTP_BAD_REQUEST).end('{"error":"not a JSON object"}');
    return;
  }
  const { lapseLeases, compact, ...faults } = command;
  store.setFaults(faults);
  if (lapseLeases) {
    store.state.expireLeases();
  }
  if (compact) {
    store.state.compact();
  }
  response.writeHead(HTTP_OK).end('{}');
}

function parseFaultCommand(body: string): StoreFaultCommand | undefined {
  try {
    const command: unknown = JSON.parse(body);
    return typeof command === 'object' && command !== null ? command : undefined;
  } catch {
    return undefined;
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  request.setEncoding('utf8');
  let body = '';
  for await (const chunk of request) {
    body += String(chunk);
  }
  return body;
}
