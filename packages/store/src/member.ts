import type { Result } from 'true-myth';

import type { PrefixEntry, PrefixSource, ReadFailure } from './prefixSource.js';

/** A live node and the address at which other nodes reach it. */
export interface Member {
  readonly name: string;
  readonly address: string;
  /** CPU capacity of the node, in cores. */
  readonly cpuCores: number;
  /** Empty for a member that doesn't state it. */
  readonly availabilityZone: string;
  /** Store revision at which the node began to leave; 0 for one that stays. */
  readonly leavingSince: number;
}

/** Prefix of the entries of the members. */
export const MEMBER_PREFIX = 'galenatiller/members/';

/** Follows address and capacity in the entry of a node that is about to leave. */
export const LEAVING_MARK = 'leaving';

/** Stands in place of {@link LEAVING_MARK} in the entry of a node that stays. */
export const STAYING_MARK = 'staying';

/** Capacity of a member that doesn't state it. */
const DEFAULT_CPU_CORES = 1;

/** Reads whether a node is a member now; undefined if it isn't. */
export async function readMember(opts: {
  /** The store itself, since what others have read may be older. */
  readonly source: Pick<PrefixSource, 'readPage'>;
  readonly name: string;
  readonly signal: AbortSignal;
}): Promise<Result<Member | undefined, ReadFailure>> {
  const { source, name, signal } = opts;
  const prefix = `${MEMBER_PREFIX}${name}`;
  const page = await source.readPage({ prefix, afterKey: '', seenRevision: 0, signal });
  return page.map(({ entries }) => {
    const found = entries.find(({ key }) => key === prefix);
    return found && decodeMember(found);
  });
}

/** Decodes the entry of a member. */
export function decodeMember({ key, value, revision }: PrefixEntry): Member {
  const [address = '', cpuCores, mark, availabilityZone = ''] = value.toString('utf8').split(' ');
  return {
    name: getMemberName(key),
    address,
    cpuCores: Number(cpuCores) || DEFAULT_CPU_CORES,
    availabilityZone,
    leavingSince: mark === LEAVING_MARK ? revision : 0,
  };
}

/** Returns the name of the member that a key is of. */
export function getMemberName(key: string): string {
  return key.slice(MEMBER_PREFIX.length);
}

/** Whether a member has written that it is about to leave. */
export function isLeavingEntry({ value }: PrefixEntry): boolean {
  return value.toString('utf8').split(' ')[2] === LEAVING_MARK;
}
