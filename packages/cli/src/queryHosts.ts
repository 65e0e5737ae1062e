import type { GalenatillerError } from '@galenatiller/error';
import type { Host } from '@galenatiller/types';
import { Result } from 'true-myth';

import type { AsyncResult, Platform } from './platform.js';

/** What one host answered. */
export interface HostResponse<Value> {
  readonly host: Host;
  readonly response: Result<Value, GalenatillerError>;
}

/** Options of {@link queryHosts}. */
export interface QueryHostsOptions<Value> {
  readonly fetchHosts: Platform['fetchHosts'];
  /** What each host is asked, all at once. */
  readonly queryHost: (host: Host) => AsyncResult<Value>;
  /** Availability zone to ask; every one when empty. */
  readonly zone?: string;
}

/** Asks every host of the host list, in its order. */
export async function queryHosts<Value>(
  opts: QueryHostsOptions<Value>,
): AsyncResult<readonly HostResponse<Value>[]> {
  const { zone = '' } = opts;
  const hosts = await opts.fetchHosts();
  if (hosts.isErr) {
    return Result.err(hosts.error);
  }
  const asked = hosts.value.filter((host) => zone === '' || host.availabilityZone === zone);
  return Result.ok(
    await Promise.all(asked.map(async (host) => ({ host, response: await opts.queryHost(host) }))),
  );
}

/** The errors of the hosts that did not answer. */
export function listHostErrors(
  answers: readonly HostResponse<unknown>[],
): readonly GalenatillerError[] {
  return answers.flatMap(({ response }) => (response.isErr ? [response.error] : []));
}
