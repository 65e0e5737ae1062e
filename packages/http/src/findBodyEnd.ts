import type { BodyEnd } from '@galenatiller/types';

/** Options of {@link findBodyEnd}. */
export interface FindBodyEndOptions {
  /** Method of the request. */
  readonly method: string;
  readonly status: number;
  /** Headers of the response; names are in lower case. */
  readonly headers: Readonly<Record<string, unknown>>;
}

const STATUSES_WITHOUT_BODY: readonly number[] = [204, 304];

/** Without chunks as the last coding, a body of a response ends with its connection. */
const CHUNKED_LAST = /(^|[\s,])chunked\s*$/i;

/** How the end of a response's body is delimited (RFC 9112, section 6.3). */
export function findBodyEnd(opts: FindBodyEndOptions): BodyEnd {
  const { method, status, headers } = opts;
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.includes(status)) {
    return 'none';
  }
  if ('transfer-encoding' in headers) {
    return CHUNKED_LAST.test(String(headers['transfer-encoding'])) ? 'last-chunk' : 'close';
  }
  return 'content-length' in headers ? 'length' : 'close';
}
