import type { EventLog } from '@galenatiller/logger';
import type { RouterSettings } from '@galenatiller/settings';
import {
  createRelayedSource,
  type LeaseClient,
  type Member,
  Membership,
  PrefixRelay,
  type PrefixSource,
  type RelayLink,
  type StatedEra,
  type WriteIfUnchanged,
} from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';

import { logMembers, logStoreEvent, logStoreRelay } from './logEvents.js';

/** Options of {@link createStoreReaders}. */
export interface StoreReadersOptions {
  readonly settings: RouterSettings;
  /** Window of the limit on repeated sends. */
  readonly repeatWindowMs: number;
  readonly timer: TimerService;
  readonly log: EventLog;
  /** The store itself. */
  readonly source: PrefixSource;
  readonly storeEra: StatedEra;
  readonly leases: LeaseClient;
  readonly writeIfUnchanged: WriteIfUnchanged;
  readonly random: () => number;
  /** Links to routers that read the store for this one. */
  readonly findRelays: () => readonly RelayLink[];
  readonly onMembers: (members: readonly Member[]) => void;
}

/** How a router reads the store, itself or through others, and how it passes on what it reads. */
export interface StoreReaders {
  /** Reads through other routers where they have what is needed. */
  readonly source: PrefixSource;
  readonly relay: PrefixRelay;
  readonly members: Membership;
}

/** Creates the parts through which a router reads the store and knows the other routers. */
export function createStoreReaders(opts: StoreReadersOptions): StoreReaders {
  const { settings, log } = opts;
  const relay = PrefixRelay.create(opts);
  const source = createRelayedSource({
    ...opts,
    direct: opts.source,
    onEvent: (event) => logStoreRelay(log, event),
  });
  const members = Membership.create({
    ...opts,
    source,
    sharedWindowMs: opts.repeatWindowMs,
    self: {
      name: settings.nodeName,
      address: settings.linkAddress,
      cpuCores: settings.cpuShare * settings.cores,
      availabilityZone: settings.availabilityZone,
    },
    onChange: (live) => {
      logMembers(log, live);
      opts.onMembers(live);
    },
    onEvent: (event) => logStoreEvent(log, event),
    observe: (observed) => relay.observe(observed),
  });
  return { source, relay, members };
}
