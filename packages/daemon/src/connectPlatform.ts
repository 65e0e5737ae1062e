import {
  followConfiguration,
  HeldConfiguration,
  type PeerOffer,
} from '@galenatiller/configuration';
import { followHosts } from '@galenatiller/hostList';
import { createLogger } from '@galenatiller/logger';
import type { NodeSettings } from '@galenatiller/settings';
import { CallBudget, createHttpTransport, StoreClient } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, Host } from '@galenatiller/types';

/** Options of {@link connectPlatform}. */
export interface ConnectPlatformOptions {
  readonly settings: NodeSettings;
  readonly timer: TimerService;
  /** Asks other nodes for their revisions while the store is away. */
  readonly readPeerOffers: () => Promise<readonly PeerOffer[]>;
}

/** The platform as the tasks of a node use it. */
export interface Platform {
  readonly store: StoreClient;
  readonly followConfiguration: (
    onConfiguration: (configuration: Configuration) => void,
    signal: AbortSignal,
  ) => Promise<void>;
  readonly followHosts: (
    onHosts: (hosts: readonly Host[]) => void,
    signal: AbortSignal,
  ) => Promise<void>;
  readonly isStoreReachable: () => boolean;
  readonly close: () => Promise<void>;
}

/** Store calls that a node allows itself. */
const STORE_CALLS_PER_SECOND = 50;
const STORE_CALL_BURST = 100;

/** Time between reads of the host list. */
const HOST_LIST_INTERVAL_MS = 1_000;

/** Connects a node to the platform's store and host list. */
export function connectPlatform(opts: ConnectPlatformOptions): Platform {
  const { settings, timer } = opts;
  const logger = createLogger('store');
  const transport = createHttpTransport({ url: settings.storeUrl });
  const budget = CallBudget.create({
    timer,
    callsPerSecond: STORE_CALLS_PER_SECOND,
    burstCalls: STORE_CALL_BURST,
  });
  const store = StoreClient.create({ transport: transport.call, timer, budget });
  let reachable = true;
  return {
    store,
    followConfiguration: (onConfiguration, signal) =>
      followConfiguration({
        store,
        timer,
        signal,
        held: HeldConfiguration.create({ onConfiguration }),
        readPeerOffers: opts.readPeerOffers,
        onStore: (state) => {
          reachable = state === 'found';
          logger({ message: `The store is ${state}.` });
        },
      }),
    followHosts: (onHosts, signal) =>
      followHosts({
        url: settings.hostListUrl,
        timer,
        signal,
        intervalMs: HOST_LIST_INTERVAL_MS,
        onHosts,
      }),
    isStoreReachable: () => reachable,
    close: transport.close,
  };
}
