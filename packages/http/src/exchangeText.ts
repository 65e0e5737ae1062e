import type { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';

import { openExchange, type OpenExchangeOptions, type OpenResponse } from './openExchange.js';
import { transportError } from './transportError.js';

/** Options of {@link exchangeText}. */
export type ExchangeTextOptions = OpenExchangeOptions;

/** A whole response. */
export interface TextResponse {
  readonly status: number;
  readonly header: OpenResponse['header'];
  readonly text: string;
}

/** Sends a request and reads the whole response. */
export async function exchangeText(
  opts: ExchangeTextOptions,
): Promise<Result<TextResponse, GalenatillerError>> {
  const opened = await openExchange(opts);
  if (opened.isErr) {
    return Result.err(opened.error);
  }
  const { status, header, body } = opened.value;
  try {
    return Result.ok({ status, header, text: await body.text() });
  } catch (cause) {
    return Result.err(transportError({ cause, signal: opts.signal }));
  }
}
