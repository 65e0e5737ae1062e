import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import type { StoreCallKind } from '@galenatiller/store';

import type { FakeStore, FakeStoreFaults } from './fakeStore.js';

/** Faults ordered over HTTP; a lease lapse and a compaction happen once. */
type FaultOrder = Partial<FakeStoreFaults> & {
  readonly lapseLeases?: boolean;
  readonly compact?: boolean;
};

const KINDS: Readonly<Record<string, StoreCallKind>> = {
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
 * The HTTP front of the stand-in store: its calls, `POST /faults` with a JSON object of faults, and
 * `GET /calls` for the number of calls by kind.
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
  const kind = KINDS[request.url ?? ''];
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
  const answer = await store.call({ kind, body, signal: controller.signal });
  if (answer.isErr) {
    response.destroy();
    return;
  }
  response.writeHead(answer.value.status, { 'content-type': 'application/json' });
  for await (const chunk of answer.value.chunks) {
    response.write(chunk);
  }
  response.end();
}

function serveFaults(store: FakeStore, body: string, response: ServerResponse): void {
  const order = parseOrder(body);
  if (!order) {
    response.writeHead(HTTP_BAD_REQUEST).end('{"error":"not a JSON object"}');
    return;
  }
  const { lapseLeases, compact, ...faults } = order;
  store.setFaults(faults);
  if (lapseLeases) {
    store.state.expireLeases();
  }
  if (compact) {
    store.state.compact();
  }
  response.writeHead(HTTP_OK).end('{}');
}

function parseOrder(body: string): FaultOrder | undefined {
  try {
    const order: unknown = JSON.parse(body);
    return typeof order === 'object' && order !== null ? order : undefined;
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
