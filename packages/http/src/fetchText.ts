import type { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';

import { sendRequest, type SendRequestOptions, type StreamedResponse } from './sendRequest.js';
import { createTransportError } from './createTransportError.js';

/** Options of {@link fetchText}. */
export type FetchTextOptions = SendRequestOptions;

/** A whole response. */
export interface TextResponse {
  readonly status: number;
  readonly header: StreamedResponse['header'];
  readonly text: string;
}

/** Sends a request and reads the whole response. */
export async function fetchText(
  opts: FetchTextOptions,
): Promise<Result<TextResponse, GalenatillerError>> {
  const opened = await sendRequest(opts);
  if (opened.isErr) {
    return Result.err(opened.error);
  }
  const { status, header, body } = opened.value;
  try {
    return Result.ok({ status, header, text: await body.text() });
  } catch (cause) {
    return Result.err(createTransportError({ cause, signal: opts.signal }));
  }
}
