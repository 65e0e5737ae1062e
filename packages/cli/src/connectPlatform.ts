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

/** Time for the answer of a node or of the host list, in milliseconds. */
const ANSWER_TIMEOUT_MS = 2_000;

/** Store calls that one command allows itself; a change of many shards takes many calls. */
const STORE_CALLS_PER_SECOND = 100;
const STORE_CALL_BURST = 400;

/** Connects the commands to the store, the host list and the nodes. */
export function connectPlatform(opts: ConnectPlatformOptions): PlatformConnection {
  const { settings, timer } = opts;
  const transport = createHttpTransport({ url: settings.storeUrl });
  const budget = CallBudget.create({
    timer,
    callsPerSecond: STORE_CALLS_PER_SECOND,
    maxBurstCalls: STORE_CALL_BURST,
  });
  const store = StoreClient.create({ transport: transport.call, timer, budget });
  const ask = { operatorKey: settings.operatorKey, timer, timeoutMs: ANSWER_TIMEOUT_MS };
  return {
    platform: {
      timer,
      readConfiguration: () => readConfiguration(store),
      publishConfiguration: (change) => publish({ store, timer, ...change }),
      fetchHosts: () => readHostList(opts),
      fetchStatus: (host) => sendOperatorRequest({ ...ask, host, request: { kind: 'status' } }),
      fetchTimeline: (host, query) =>
        sendOperatorRequest({ ...ask, host, request: { kind: 'timeline', query } }),
      fetchExplanation: (host, requestId) =>
        sendOperatorRequest({ ...ask, host, request: { kind: 'explain', requestId } }),
    },
    close: transport.close,
  };
}

interface StoreOptions extends PublishOptions {
  readonly store: StoreClient;
  readonly timer: TimerService;
}

async function publish(opts: StoreOptions): AsyncResult<PublishResult> {
  const published = await publishConfiguration(opts);
  if (published.isOk) {
    return Result.ok({ kind: 'accepted', revision: published.value.revision });
  }
  const { error } = published.error;
  if (error.codeName !== 'revision-conflict') {
    return Result.err(error);
  }
  const current = await readConfiguration(opts.store);
  // Without the other change the conflict itself is still the answer.
  return current.isErr
    ? Result.err(error)
    : Result.ok({ kind: 'conflict', current: current.value });
}

async function readHostList(opts: ConnectPlatformOptions): AsyncResult<readonly Host[]> {
  const limit = opts.timer.startTimeLimit({ limitMs: ANSWER_TIMEOUT_MS });
  const hosts = await fetchHosts({ url: opts.settings.hostListUrl, signal: limit.signal });
  limit.release();
  return hosts;
}
