import type { GalenatillerError } from '@galenatiller/error';
import { createLogger } from '@galenatiller/logger';
import { jitteredDelayMs, type StoreClient, type WatchEvent } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import { adoptFromPeer, type PeerOffer } from './adoptFromPeer.js';
import { HEAD_KEY } from './configurationKeys.js';
import type { ActiveConfiguration } from './activeConfiguration.js';
import { readHead } from './readHead.js';
import { createShardReader } from './createShardReader.js';
import { compareHeads, type HeadRelation } from './compareHeads.js';
import type { ConfigurationHead } from './headTypes.js';
import { reconcileHead } from './reconcileHead.js';
import { decodeHead } from './wire.js';

/** Options of {@link followConfiguration}. */
export interface FollowConfigurationOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  readonly active: ActiveConfiguration;
  readonly signal: AbortSignal;
  /** Asks other nodes for their active revisions while the store is unavailable. */
  readonly readPeerOffers: () => Promise<readonly PeerOffer[]>;
  /** Watches through the shared watch of the node; if omitted, a separate watch is opened. */
  readonly watch?: StoreClient['watch'];
  /** Called when the store becomes unavailable and when it is available again. */
  readonly onStoreStateChange?: (state: 'lost' | 'found') => void;
  /** Returns a uniform random number from 0 to 1, for jitter. */
  readonly random?: () => number;
}

const RETRY_BASE_MS = 1_000;
const MAX_RETRY_DELAY_MS = 4_000;

/** Spreads the nodes of a fleet, so that one of them brings a restored store up to date. */
const MAX_RECONCILE_DELAY_MS = 1_000;

const log = createLogger('configuration');

/**
 * Keeps a node at the newest revision until the signal aborts: reads the head, then follows its
 * changes.
 */
export async function followConfiguration(opts: FollowConfigurationOptions): Promise<void> {
  const { timer, signal, random = Math.random } = opts;
  let failures = 0;
  while (!signal.aborted) {
    const read = await activateNewest(opts);
    if (read.isOk) {
      notifyStoreState(opts, failures > 0 ? 'found' : undefined);
      failures = 0;
      await followHead(opts, read.value + 1);
    } else {
      log({ message: `The newest configuration could not be read: ${read.error.message}.` });
      notifyStoreState(opts, 'lost');
      await adoptFromPeers(opts);
      const bounds = { baseMs: RETRY_BASE_MS, maxMs: MAX_RETRY_DELAY_MS };
      await timer.sleep({ delayMs: jitteredDelayMs({ failures, random, ...bounds }), signal });
      failures += 1;
    }
  }
}

/** Activates the newest revision and returns the store revision at which it was read. */
async function activateNewest(
  opts: FollowConfigurationOptions,
  hasWaited = false,
): Promise<Result<number, GalenatillerError>> {
  const { store, active } = opts;
  const read = await readHead(store);
  if (read.isErr) {
    return Result.err(read.error);
  }
  const { head, storeRevision } = read.value;
  const own = active.publishedHead();
  if (own && isOutdated(own, head)) {
    if (hasWaited) {
      return reconcileHead({ ...opts, own, stored: read.value });
    }
    const { random = Math.random, timer, signal } = opts;
    await timer.sleep({ delayMs: random() * MAX_RECONCILE_DELAY_MS, signal });
    return activateNewest(opts, true);
  }
  const advanced = await active.advance({ manifest: head, readShards: createShardReader(store) });
  return advanced.map(() => storeRevision);
}

/** Follows the head until it has to be read again. */
async function followHead(opts: FollowConfigurationOptions, fromRevision: number): Promise<void> {
  const { store, signal, watch = (options) => store.watch(options) } = opts;
  for await (const event of watch({ prefix: HEAD_KEY, fromRevision, signal })) {
    if (event.kind === 'lost' || event.kind === 'found') {
      notifyStoreState(opts, event.kind);
    }
    if (event.kind === 'lost') {
      await adoptFromPeers(opts);
    }
    if (event.kind === 'gap' || !(await applyChange(opts, event))) {
      return;
    }
  }
}

/** Applies a change of the head; false if the change could not be activated. */
async function applyChange(opts: FollowConfigurationOptions, event: WatchEvent): Promise<boolean> {
  if (event.kind !== 'put') {
    return true;
  }
  const head = decodeHead(event.entry.value);
  if (head.isErr) {
    log({ message: `Ignored an invalid configuration head: ${head.error.message}.` });
    return true;
  }
  const own = opts.active.publishedHead();
  if (own && isOutdated(own, head.value)) {
    return false;
  }
  const update = { manifest: head.value, readShards: createShardReader(opts.store) };
  return (await opts.active.advance(update)).isOk;
}

/** Whether the store lacks the revision of this node, because it was restored from an older copy. */
function isOutdated(own: ConfigurationHead, stored: ConfigurationHead): boolean {
  const relation: HeadRelation = compareHeads({ own, stored });
  return relation === 'earlier' || relation === 'branched';
}

async function adoptFromPeers(opts: FollowConfigurationOptions): Promise<void> {
  await adoptFromPeer({ active: opts.active, offers: await opts.readPeerOffers() });
}

function notifyStoreState(
  opts: FollowConfigurationOptions,
  state: 'lost' | 'found' | undefined,
): void {
  if (state) {
    opts.onStoreStateChange?.(state);
  }
}
