import {
  followConfiguration,
  ActiveConfiguration,
  WATCHED_PREFIX,
} from '@galenatiller/configuration';
import { pollHosts } from '@galenatiller/hostList';
import { createLogger } from '@galenatiller/logger';
import { ConfigurationExchange } from '@galenatiller/node';
import type { NodeSettings } from '@galenatiller/settings';
import { CallBudget, createHttpTransport, StoreClient, WatchHub } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, Host } from '@galenatiller/types';

/** Options of {@link connectPlatform}. */
export interface ConnectPlatformOptions {
  readonly settings: NodeSettings;
  readonly timer: TimerService;
}

/** Access of a node to the platform. */
export interface Platform {
  /** Exchanges the active configuration with other nodes. */
  readonly exchange: ConfigurationExchange;
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

/** Limits for the store calls of one node. */
const MAX_STORE_CALLS_PER_SECOND = 50;
const MAX_STORE_CALL_BURST = 100;

/** Time between two polls of the host list. */
const HOST_LIST_POLL_INTERVAL_MS = 1_000;

/** Connects a node to the platform's store and host list. */
export function connectPlatform(opts: ConnectPlatformOptions): Platform {
  const { settings, timer } = opts;
  const logger = createLogger('store');
  const transport = createHttpTransport({ url: settings.storeUrl });
  const budget = CallBudget.create({
    timer,
    callsPerSecond: MAX_STORE_CALLS_PER_SECOND,
    maxBurstCalls: MAX_STORE_CALL_BURST,
  });
  const store = StoreClient.create({ transport: transport.call, timer, budget });
  const watchHub = WatchHub.create({ store, rootPrefix: WATCHED_PREFIX });
  let onConfiguration: (configuration: Configuration) => void = () => {};
  const activeConfiguration = ActiveConfiguration.create({
    onConfiguration: (configuration) => onConfiguration(configuration),
  });
  const exchange = ConfigurationExchange.create({
    timer,
    getOwnOffer: () => ({
      revision: activeConfiguration.current().revision,
      shards: activeConfiguration.shardReferences(),
    }),
    findShard: (shard) => activeConfiguration.findShard(shard),
  });
  let isReachable = true;
  return {
    store,
    exchange,
    followConfiguration: async (notify, signal) => {
      onConfiguration = notify;
      const following = followConfiguration({
        store,
        timer,
        signal,
        active: activeConfiguration,
        watch: (watchOptions) => watchHub.watch(watchOptions),
        readPeerOffers: () => exchange.requestOffers(),
        onStoreStateChange: (state) => {
          isReachable = state === 'found';
          logger({ message: `Connection to the store ${state}.` });
        },
      });
      await Promise.all([following, watchHub.run({ signal })]);
    },
    followHosts: (onHosts, signal) =>
      pollHosts({
        url: settings.hostListUrl,
        timer,
        signal,
        intervalMs: HOST_LIST_POLL_INTERVAL_MS,
        onHosts,
      }),
    isStoreReachable: () => isReachable,
    close: transport.close,
  };
}
