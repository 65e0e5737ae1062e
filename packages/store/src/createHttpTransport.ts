import { Result } from 'true-myth';
import { Pool } from 'undici';

import type { StoreCall, StoreCallKind, StoreTransport, TransportFailure } from './storeTypes.js';

/** Sends store calls over HTTP; `close` destroys the connection pool. */
export interface HttpTransport {
  readonly call: StoreTransport;
  readonly close: () => Promise<void>;
}

const PATHS: Readonly<Record<StoreCallKind, string>> = {
  range: '/v3/kv/range',
  txn: '/v3/kv/txn',
  'lease-grant': '/v3/lease/grant',
  'lease-keepalive': '/v3/lease/keepalive',
  'lease-revoke': '/v3/lease/revoke',
  watch: '/v3/watch',
};

/** Size of the connection pool; an open watch occupies one connection. */
const MAX_CONNECTIONS = 8;

/** Errors that occur before a connection is open, so that nothing can have been sent. */
const NOT_SENT_ERROR_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
];

/**
 * Creates a transport that posts JSON to the store. Time limits come from the signal of each call.
 */
export function createHttpTransport(opts: { readonly url: string }): HttpTransport {
  const pool = new Pool(opts.url, {
    connections: MAX_CONNECTIONS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    call: (call) => post(pool, call),
    close: () => pool.destroy(),
  };
}

async function post(pool: Pool, call: StoreCall): ReturnType<StoreTransport> {
  try {
    const { statusCode, body } = await pool.request({
      method: 'POST',
      path: PATHS[call.kind],
      headers: { 'content-type': 'application/json' },
      body: call.body,
      signal: call.signal,
    });
    body.setEncoding('utf8');
    return Result.ok({ status: statusCode, chunks: body });
  } catch (error) {
    return Result.err(toTransportFailure(error));
  }
}

function toTransportFailure(error: unknown): TransportFailure {
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  return {
    kind: NOT_SENT_ERROR_CODES.includes(code) ? 'not-sent' : 'broken',
    detail: String(error),
  };
}
