import { publishConfiguration, readConfiguration } from '@galenatiller/configuration';
import { fetchHosts } from '@galenatiller/hostList';
import { sendOperatorRequest } from '@galenatiller/operator';
import type { CliSettings } from '@galenatiller/settings';
import { CallBudget, createHttpTransport, StoreClient } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import type { Host } from '@galenatiller/types';
import { Result } from 'true-myth';

import type { AsyncResult, PublishResult, PublishOptions } from './platform.js';
import type { PlatformConnection } from './runCli.js';

/** Options of {@link connectPlatform}. */
export interface ConnectPlatformOptions {
  readonly settings: CliSettings;
  readonly timer: TimerService;
}

/** Time limit for a response of a node or of the host list. */
const RESPONSE_TIMEOUT_MS = 2_000;

/** Limits for the store calls of one command. A change that touches many shards takes many calls. */
const MAX_STORE_CALLS_PER_SECOND = 100;
const MAX_STORE_CALL_BURST = 400;

/** Connects commands to the store, the host list and the nodes. */
export function connectPlatform(opts: ConnectPlatformOptions): PlatformConnection {
  const { settings, timer } = opts;
  const transport = createHttpTransport({ url: settings.storeUrl });
  const budget = CallBudget.create({
    timer,
    callsPerSecond: MAX_STORE_CALLS_PER_SECOND,
    maxBurstCalls: MAX_STORE_CALL_BURST,
  });
  const store = StoreClient.create({ transport: transport.call, timer, budget });
  const requestOptions = {
    operatorKey: settings.operatorKey,
    timer,
    timeoutMs: RESPONSE_TIMEOUT_MS,
  };
  return {
    platform: {
      timer,
      readConfiguration: () => readConfiguration(store),
      publishConfiguration: (change) => publishToStore({ store, timer, ...change }),
      fetchHosts: () => fetchHostList(opts),
      fetchStatus: (host) =>
        sendOperatorRequest({ ...requestOptions, host, request: { kind: 'status' } }),
      fetchTimeline: (host, query) =>
        sendOperatorRequest({ ...requestOptions, host, request: { kind: 'timeline', query } }),
      fetchExplanation: (host, requestId) =>
        sendOperatorRequest({ ...requestOptions, host, request: { kind: 'explain', requestId } }),
    },
    close: transport.close,
  };
}

interface PublishToStoreOptions extends PublishOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
}

async function publishToStore(opts: PublishToStoreOptions): AsyncResult<PublishResult> {
  const published = await publishConfiguration(opts);
  if (published.isOk) {
    return Result.ok({ kind: 'accepted', revision: published.value.revision });
  }
  const { error } = published.error;
  if (error.codeName !== 'revision-conflict') {
    return Result.err(error);
  }
  const current = await readConfiguration(opts.store);
  // If the conflicting change can't be read, the conflict error is returned without it.
  return current.isErr
    ? Result.err(error)
    : Result.ok({ kind: 'conflict', current: current.value });
}

async function fetchHostList(opts: ConnectPlatformOptions): AsyncResult<readonly Host[]> {
  const timeLimit = opts.timer.startTimeLimit({ limitMs: RESPONSE_TIMEOUT_MS });
  const hosts = await fetchHosts({ url: opts.settings.hostListUrl, signal: timeLimit.signal });
  timeLimit.release();
  return hosts;
}
