import { GalenatillerError } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import type { Host } from '@galenatiller/types';
import { Result } from 'true-myth';
import { request as sendRequest } from 'undici';

import type { OperatorResponses, OperatorRequest } from './nodeReport.js';
import { decodeProblemDetails, decodeResponse, encodeRequestPath } from './wire.js';

/** Options of {@link sendOperatorRequest}. */
export interface SendOperatorRequestOptions<Kind extends keyof OperatorResponses> {
  readonly host: Pick<Host, 'name' | 'address' | 'operatorPort'>;
  /** Operator key; it goes into the request only. */
  readonly operatorKey: string;
  readonly request: Extract<OperatorRequest, { readonly kind: Kind }>;
  readonly timer: TimerService;
  /** Time for the whole reply. */
  readonly timeoutMs: number;
}

/** Asks one node as an operator. */
export async function sendOperatorRequest<Kind extends keyof OperatorResponses>(
  opts: SendOperatorRequestOptions<Kind>,
): Promise<Result<OperatorResponses[Kind], GalenatillerError>> {
  const { host, request } = opts;
  const limit = opts.timer.startTimeLimit({ limitMs: opts.timeoutMs });
  try {
    const reply = await sendRequest(`${baseUrl(host)}${encodeRequestPath(request)}`, {
      method: 'GET',
      headers: { authorization: `Bearer ${opts.operatorKey}` },
      signal: limit.signal,
    });
    const text = await reply.body.text();
    return reply.statusCode === 200
      ? decodeResponse<Kind>(request.kind, text)
      : Result.err(decodeProblemDetails(text));
  } catch {
    const waited = limit.signal.aborted ? ` within ${opts.timeoutMs} ms` : '';
    const detail = `${host.name} does not answer operators${waited}`;
    return Result.err(GalenatillerError.create({ name: 'link-unopened', detail }));
  } finally {
    limit.release();
  }
}

function baseUrl(host: Pick<Host, 'address' | 'operatorPort'>): string {
  const address = host.address.includes(':') ? `[${host.address}]` : host.address;
  return `http://${address}:${host.operatorPort}`;
}
