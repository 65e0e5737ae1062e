import { GalenatillerError } from '@galenatiller/error';
import { systemClock, TimerService } from '@galenatiller/timer';
import type { BodyEnd, TargetNotice } from '@galenatiller/types';
import { Result } from 'true-myth';
import { buildConnector, type Dispatcher } from 'undici';

import {
  closeConnection,
  type Connection,
  createConnection,
  isReusable,
  readBody,
  recordBodyEnd,
} from './connection.js';
import { decodeTargetNotice } from './decodeTargetNotice.js';
import { createTransportError } from './createTransportError.js';
import { findBodyEnd } from './findBodyEnd.js';
import { IdleConnections } from './idleConnections.js';
import { requireValidStatus } from './requireValidStatus.js';

/** Header in which a target says that it is leaving. */
const LEAVING_HEADER = 'x-target-leaving';

/** Options of {@link sendRequest}. */
export interface SendRequestOptions {
  /** Base URL of the peer, without a trailing slash. */
  readonly url: string;
  readonly path: string;
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  readonly headers: Readonly<Record<string, string>>;
  /** Encoded body; empty for none. */
  readonly body: string;
  /**
   * Whether the request gets a connection of its own, so that no earlier response can be repeated in
   * place of its own.
   */
  readonly isConnectionNew?: boolean;
  /** Aborting it closes the connection, which tells the peer to stop. */
  readonly signal: AbortSignal;
  /**
   * Called before the body is read with what the answer says about its target, and the identity of
   * the process that sent it; empty when the answer has none.
   */
  readonly onNotice?: OnTargetNotice;
}

/** Receives what an answer says about its target. */
export type OnTargetNotice = (notice: TargetNotice, startId: string) => void;

/** A response whose body has not been read yet; reading throws when the body is interrupted. */
export interface StreamedResponse {
  readonly status: number;
  /** Returns the value of a response header, or an empty string. */
  readonly header: (name: string) => string;
  readonly bodyEnd: BodyEnd;
  readonly body: AsyncIterable<Buffer>;
}

/** More than the requests that a node has in progress to one peer. */
const MAX_IDLE_CONNECTIONS = 256;

const idleConnections = IdleConnections.create({ maxPerPeer: MAX_IDLE_CONNECTIONS });

const openSocket = buildConnector({});

const timer = TimerService.create({ clock: systemClock });

/** Sends a request and waits for the status and headers of the response. */
export async function sendRequest(
  opts: SendRequestOptions,
): Promise<Result<StreamedResponse, GalenatillerError>> {
  const { signal } = opts;
  if (signal.aborted) {
    return Result.err(
      GalenatillerError.create({
        name: 'cancelled',
        detail: 'cancelled before the request was sent',
        outcome: 'not-run',
      }),
    );
  }
  try {
    const { statusCode, headers, bodyEnd, body } = await exchange(opts);
    const header = (name: string): string => joinValues(headers[name]);
    const notice = decodeTargetNotice({
      status: statusCode,
      leaving: header(LEAVING_HEADER),
      retryAfter: header('retry-after'),
    });
    if (notice) {
      opts.onNotice?.(notice, header('x-engine-start-id'));
    }
    return Result.ok({ status: statusCode, header, bodyEnd, body });
  } catch (cause) {
    return Result.err(createTransportError({ cause, signal }));
  }
}

async function exchange(
  opts: SendRequestOptions,
): Promise<
  Pick<Dispatcher.ResponseData, 'headers' | 'statusCode'> &
    Pick<StreamedResponse, 'body' | 'bodyEnd'>
> {
  const { origin, pathname, search } = new URL(`${opts.url}${opts.path}`);
  const connection =
    (opts.isConnectionNew ? undefined : idleConnections.take(origin)) ?? openConnection(origin);
  connection.history().recordProgress();
  try {
    const path = `${pathname}${search}`;
    const response = await connection.client.request({ ...createRequestOptions(opts), path });
    const { statusCode, headers } = requireValidStatus(response);
    const bodyEnd = findBodyEnd({ method: opts.method, status: statusCode, headers });
    connection.history().recordProgress();
    recordBodyEnd(connection, { bodyEnd, requestBytes: opts.body.length });
    const mayKeep = !opts.isConnectionNew && isReusable(bodyEnd, headers.connection);
    const keep = mayKeep ? () => idleConnections.keep(origin, connection) : undefined;
    const body = readBody({ connection, body: response.body, bodyEnd, keep });
    return { statusCode, headers, bodyEnd, body };
  } catch (cause) {
    closeConnection(connection);
    throw cause;
  }
}

/** Opens a connection that is forgotten once its socket is closed. */
function openConnection(origin: string): Connection {
  const connection = createConnection({ origin, timer, openSocket });
  connection.client.once('disconnect', () => idleConnections.remove(origin, connection));
  return connection;
}

/** Maximum number of informational responses before the final one. */
const MAX_INFORMATIONAL_RESPONSES = 16;

/** Creates a handler that aborts a request to a peer that sends informational responses without end. */
function limitInformational(): () => void {
  let responses = 0;
  return () => {
    responses += 1;
    if (responses > MAX_INFORMATIONAL_RESPONSES) {
      throw new Error(`over ${MAX_INFORMATIONAL_RESPONSES} informational responses`);
    }
  };
}

function createRequestOptions(
  opts: SendRequestOptions,
): Pick<
  Dispatcher.RequestOptions,
  'method' | 'headers' | 'body' | 'signal' | 'headersTimeout' | 'bodyTimeout' | 'onInfo'
> {
  return {
    method: opts.method,
    headers: opts.headers,
    body: opts.body === '' ? null : opts.body,
    signal: opts.signal,
    onInfo: limitInformational(),
    // The signal enforces the deadline.
    headersTimeout: 0,
    bodyTimeout: 0,
  };
}

function joinValues(value: string | string[] | undefined): string {
  return Array.isArray(value) ? value.join(', ') : (value ?? '');
}
