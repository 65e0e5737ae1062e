import type { GalenatillerError } from '@galenatiller/error';
import type { Host } from '@galenatiller/types';
import { Result } from 'true-myth';

import type { Answer, Platform } from './platform.js';

/** What one host answered. */
export interface HostAnswer<Value> {
  readonly host: Host;
  readonly answer: Result<Value, GalenatillerError>;
}

/** Options of {@link readFleet}. */
export interface ReadFleetOptions<Value> {
  readonly readHosts: Platform['readHosts'];
  /** What each host is asked, all at once. */
  readonly ask: (host: Host) => Answer<Value>;
  /** Availability zone to ask; every one when empty. */
  readonly zone?: string;
}

/** Asks every host of the host list, in its order. */
export async function readFleet<Value>(
  opts: ReadFleetOptions<Value>,
): Answer<readonly HostAnswer<Value>[]> {
  const { zone = '' } = opts;
  const hosts = await opts.readHosts();
  if (hosts.isErr) {
    return Result.err(hosts.error);
  }
  const asked = hosts.value.filter((host) => zone === '' || host.availabilityZone === zone);
  return Result.ok(
    await Promise.all(asked.map(async (host) => ({ host, answer: await opts.ask(host) }))),
  );
}

/** The errors of the hosts that did not answer. */
export function silentHosts(answers: readonly HostAnswer<unknown>[]): readonly GalenatillerError[] {
  return answers.flatMap(({ answer }) => (answer.isErr ? [answer.error] : []));
}
