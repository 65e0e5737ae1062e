import { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';
import { type Dispatcher, request } from 'undici';

import { createTransportError } from './createTransportError.js';

/** Options of {@link sendRequest}. */
export interface SendRequestOptions {
  /** Base URL of the peer, without a trailing slash. */
  readonly url: string;
  readonly path: string;
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  readonly headers: Readonly<Record<string, string>>;
  /** Encoded body; empty for none. */
  readonly body: string;
  /** Its abort destroys the exchange, which tells the peer to stop. */
  readonly signal: AbortSignal;
}

/** A response whose body is still to be read. */
export interface StreamedResponse {
  readonly status: number;
  /** The value of a response header, or an empty string. */
  readonly header: (name: string) => string;
  readonly body: Dispatcher.ResponseData['body'];
}

/** Sends a request and waits for the head of the response. */
export async function sendRequest(
  opts: SendRequestOptions,
): Promise<Result<StreamedResponse, GalenatillerError>> {
  const { signal } = opts;
  if (signal.aborted) {
    return Result.err(
      GalenatillerError.create({
        name: 'cancelled',
        detail: 'given up before it was sent',
        outcome: 'not-run',
      }),
    );
  }
  try {
    const { statusCode, headers, body } = await request(`${opts.url}${opts.path}`, {
      method: opts.method,
      headers: opts.headers,
      body: opts.body === '' ? null : opts.body,
      signal,
      // The signal carries the deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    return Result.ok({ status: statusCode, header: (name) => textOf(headers[name]), body });
  } catch (cause) {
    return Result.err(createTransportError({ cause, signal }));
  }
}

function textOf(value: string | string[] | undefined): string {
  return Array.isArray(value) ? value.join(', ') : (value ?? '');
}
