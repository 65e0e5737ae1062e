import { MAX_RESPONSE_BYTES } from '@galenatiller/constants';
import type { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';

import { sendRequest, type SendRequestOptions, type StreamedResponse } from './sendRequest.js';
import { readAll } from './readAll.js';
import { createTransportError } from './createTransportError.js';

/** Options of {@link fetchText}. */
export type FetchTextOptions = SendRequestOptions;

/** A complete response. */
export interface TextResponse {
  readonly status: number;
  readonly header: StreamedResponse['header'];
  readonly bodyEnd: StreamedResponse['bodyEnd'];
  readonly text: string;
}

/** Sends a request and reads the complete response. */
export async function fetchText(
  opts: FetchTextOptions,
): Promise<Result<TextResponse, GalenatillerError>> {
  const response = await sendRequest(opts);
  if (response.isErr) {
    return Result.err(response.error);
  }
  const { status, header, bodyEnd, body } = response.value;
  try {
    const bytes = await readAll({ body, maxBytes: MAX_RESPONSE_BYTES });
    return Result.ok({ status, header, bodyEnd, text: bytes.toString('utf8') });
  } catch (cause) {
    return Result.err(createTransportError({ cause, signal: opts.signal }));
  }
}
