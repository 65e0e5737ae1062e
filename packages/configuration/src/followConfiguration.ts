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
import { decodeHead } from './wire.js';

/** Options of {@link followConfiguration}. */
export interface FollowConfigurationOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
  readonly held: ActiveConfiguration;
  readonly signal: AbortSignal;
  /** Asks other nodes for their revisions while the store is away. */
  readonly readPeerOffers: () => Promise<readonly PeerOffer[]>;
  /** Watches through the one watch of the node; without it a watch of its own is opened. */
  readonly watch?: StoreClient['watch'];
  /** Told when the store is lost and found again. */
  readonly onStoreStateChange?: (state: 'lost' | 'found') => void;
  /** Uniform number from 0 to 1, for jitter. */
  readonly random?: () => number;
}

const RETRY_BASE_MS = 1_000;
const RETRY_CAP_MS = 4_000;

const log = createLogger('configuration');

/**
 * The task that keeps a node at the newest revision: read the head, then follow it. Ends when the
 * signal aborts.
 */
export async function followConfiguration(opts: FollowConfigurationOptions): Promise<void> {
  const { timer, signal, random = Math.random } = opts;
  let failures = 0;
  while (!signal.aborted) {
    const read = await readNewest(opts);
    if (read.isOk) {
      setStore(opts, failures > 0 ? 'found' : undefined);
      failures = 0;
      await followHead(opts, read.value + 1);
    } else {
      log({ message: `The head could not be read: ${read.error.message}.` });
      setStore(opts, 'lost');
      await askPeers(opts);
      const spans = { baseMs: RETRY_BASE_MS, capMs: RETRY_CAP_MS };
      await timer.sleep({ delayMs: jitteredDelayMs({ failures, random, ...spans }), signal });
      failures += 1;
    }
  }
}

/** Brings the newest revision into force and gives the revision of the store it was read at. */
async function readNewest(
  opts: FollowConfigurationOptions,
): Promise<Result<number, GalenatillerError>> {
  const { store, held } = opts;
  const read = await readHead(store);
  if (read.isErr) {
    return Result.err(read.error);
  }
  const { head, storeRevision } = read.value;
  const advanced = await held.advance({ view: head, readShards: createShardReader(store) });
  return advanced.map(() => storeRevision);
}

/** Follows the head until it has to be read anew. */
async function followHead(opts: FollowConfigurationOptions, fromRevision: number): Promise<void> {
  const { store, signal, watch = (options) => store.watch(options) } = opts;
  for await (const event of watch({ prefix: HEAD_KEY, fromRevision, signal })) {
    if (event.kind === 'lost' || event.kind === 'found') {
      setStore(opts, event.kind);
    }
    if (event.kind === 'lost') {
      await askPeers(opts);
    }
    if (event.kind === 'gap' || !(await takeChange(opts, event))) {
      return;
    }
  }
}

/** False when the change could not be brought into force. */
async function takeChange(opts: FollowConfigurationOptions, event: WatchEvent): Promise<boolean> {
  if (event.kind !== 'put') {
    return true;
  }
  const head = decodeHead(event.entry.value);
  if (head.isErr) {
    log({ message: `A head was refused: ${head.error.message}.` });
    return true;
  }
  const read = { view: head.value, readShards: createShardReader(opts.store) };
  return (await opts.held.advance(read)).isOk;
}

async function askPeers(opts: FollowConfigurationOptions): Promise<void> {
  await adoptFromPeer({ held: opts.held, offers: await opts.readPeerOffers() });
}

function setStore(opts: FollowConfigurationOptions, state: 'lost' | 'found' | undefined): void {
  if (state) {
    opts.onStoreStateChange?.(state);
  }
}
