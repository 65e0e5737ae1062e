import { GalenatillerError } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import type { Host } from '@galenatiller/types';
import { Result } from 'true-myth';
import { request as sendHttpRequest } from 'undici';

import type { OperatorResponses, OperatorRequest } from './nodeReport.js';
import { decodeProblemDetails, decodeResponse, encodeRequestPath } from './wire.js';

/** Options of {@link sendOperatorRequest}. */
export interface SendOperatorRequestOptions<Kind extends keyof OperatorResponses> {
  readonly host: Pick<Host, 'name' | 'address' | 'operatorPort'>;
  /** Operator key, sent as a bearer token. It is never logged or put into an error. */
  readonly operatorKey: string;
  readonly request: Extract<OperatorRequest, { readonly kind: Kind }>;
  readonly timer: TimerService;
  /** Time limit for the whole exchange, up to the last byte of the response. */
  readonly timeoutMs: number;
}

/** Sends an operator request to one node and decodes the response. */
export async function sendOperatorRequest<Kind extends keyof OperatorResponses>(
  opts: SendOperatorRequestOptions<Kind>,
): Promise<Result<OperatorResponses[Kind], GalenatillerError>> {
  const { host, request } = opts;
  const timeLimit = opts.timer.startTimeLimit({ limitMs: opts.timeoutMs });
  try {
    const response = await sendHttpRequest(`${formatBaseUrl(host)}${encodeRequestPath(request)}`, {
      method: 'GET',
      headers: { authorization: `Bearer ${opts.operatorKey}` },
      signal: timeLimit.signal,
    });
    const text = await response.body.text();
    return response.statusCode === 200
      ? decodeResponse<Kind>(request.kind, text)
      : Result.err(decodeProblemDetails(text));
  } catch {
    const timeout = timeLimit.signal.aborted ? ` within ${opts.timeoutMs} ms` : '';
    const detail = `${host.name} did not respond to an operator request${timeout}`;
    return Result.err(GalenatillerError.create({ name: 'link-unopened', detail }));
  } finally {
    timeLimit.release();
  }
}

function formatBaseUrl(host: Pick<Host, 'address' | 'operatorPort'>): string {
  const address = host.address.includes(':') ? `[${host.address}]` : host.address;
  return `http://${address}:${host.operatorPort}`;
}
