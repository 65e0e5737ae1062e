import type { GalenatillerError } from '@galenatiller/error';
import { fetchText, findStatusError } from '@galenatiller/http';
import type { Host } from '@galenatiller/types';
import { Result } from 'true-myth';

import { decodeHosts } from './wire.js';

/** Options of {@link fetchHosts}. */
export interface FetchHostsOptions {
  /** Base URL of the host list. */
  readonly url: string;
  readonly signal: AbortSignal;
}

/** Fetches the host list once. */
export async function fetchHosts(
  opts: FetchHostsOptions,
): Promise<Result<readonly Host[], GalenatillerError>> {
  const response = await fetchText({
    url: opts.url,
    path: '/v1/hosts',
    method: 'GET',
    headers: {},
    body: '',
    signal: opts.signal,
  });
  return response.andThen(({ status, text }) => {
    const failure = findStatusError({ status, text });
    return failure.isJust ? Result.err(failure.value) : decodeHosts(text);
  });
}
