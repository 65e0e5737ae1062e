import type { RelayLink } from '@galenatiller/store';

import type { ServiceOwners } from './ownership/index.js';
import type { PeerRouters } from './peerRouters.js';

/** Options of {@link findStoreRelays}. */
export interface FindStoreRelaysOptions {
  readonly selfName: string;
  readonly owners: Pick<ServiceOwners, 'findSharers' | 'size'>;
  readonly peers: Pick<PeerRouters, 'find'>;
  readonly hash: (text: string) => number;
}

const TASK = 'read the store';

/** Routers that read the store for others, in a small fleet; one of them may be lost. */
const MIN_READERS = 2;

/** Routers for which one reads the store. */
const ROUTERS_PER_READER = 25;

/**
 * The links to routers that read the store for others, in the order in which this one asks them; none
 * if this router is one of them. The order differs between routers, so that they share the requests.
 */
export function findStoreRelays(opts: FindStoreRelaysOptions): readonly RelayLink[] {
  const { selfName, owners, peers, hash } = opts;
  const count = Math.max(MIN_READERS, Math.ceil(owners.size / ROUTERS_PER_READER));
  const readers = owners.findSharers(TASK, count);
  if (readers.includes(selfName)) {
    return [];
  }
  return readers
    .map((name) => ({ name, rank: hash(`${selfName} ${name}`) }))
    .sort((left, right) => right.rank - left.rank)
    .flatMap(({ name }) => {
      const peer = peers.find(name);
      return peer?.canAccept ? [{ name, read: (request) => peer.read(request) }] : [];
    });
}
