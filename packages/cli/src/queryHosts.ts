import type { GalenatillerError } from '@galenatiller/error';
import type { Host } from '@galenatiller/types';
import { Result } from 'true-myth';

import type { AsyncResult, Platform } from './platform.js';

/** Response of one host. */
export interface HostResponse<Value> {
  readonly host: Host;
  readonly response: Result<Value, GalenatillerError>;
}

/** Options of {@link queryHosts}. */
export interface QueryHostsOptions<Value> {
  readonly fetchHosts: Platform['fetchHosts'];
  /** Sends the request to one host; called for all hosts at once. */
  readonly queryHost: (host: Host) => AsyncResult<Value>;
  /** Availability zone to query; all zones when empty. */
  readonly zone?: string;
}

/** Queries all hosts at once and returns their responses in the order of the host list. */
export async function queryHosts<Value>(
  opts: QueryHostsOptions<Value>,
): AsyncResult<readonly HostResponse<Value>[]> {
  const { zone = '' } = opts;
  const hosts = await opts.fetchHosts();
  if (hosts.isErr) {
    return Result.err(hosts.error);
  }
  const queriedHosts = hosts.value.filter((host) => zone === '' || host.availabilityZone === zone);
  return Result.ok(
    await Promise.all(
      queriedHosts.map(async (host) => ({ host, response: await opts.queryHost(host) })),
    ),
  );
}

/** Returns the errors of the hosts whose query failed. */
export function listHostErrors(
  responses: readonly HostResponse<unknown>[],
): readonly GalenatillerError[] {
  return responses.flatMap(({ response }) => (response.isErr ? [response.error] : []));
}
