import type { TimerService } from '@galenatiller/timer';

import { computeSha256 } from './computeSha256.js';
import { FakeServer, sendJson } from './fakeServer.js';

/** Options of {@link createFakeWeightStore}. */
export interface FakeWeightStoreOptions {
  readonly timer: TimerService;
  /** 0 for any free port. */
  readonly port: number;
  /** Maximum number of calls per second; others get status 429. */
  readonly callsPerSecond: number;
}

/** A running fake weight store. */
export interface FakeWeightStore {
  readonly port: number;
  readonly url: string;
  /** Returns how many calls were answered and how many refused. */
  readonly counts: () => { readonly answered: number; readonly refused: number };
  readonly close: () => Promise<void>;
}

const PATH_PREFIX = '/v1/weights/';
const MS_PER_SECOND = 1_000;
const WEIGHT_SIZE_BYTES = 1_000_000_000;

/** Starts a fake weight store that refuses calls above its rate limit. */
export async function createFakeWeightStore(
  opts: FakeWeightStoreOptions,
): Promise<FakeWeightStore> {
  let answered = 0;
  let refused = 0;
  let currentSecond = 0;
  let callsInSecond = 0;
  const server = await FakeServer.listen({
    port: opts.port,
    handle: ({ path, response }) => {
      const name = decodeURIComponent(path.slice(PATH_PREFIX.length));
      if (!path.startsWith(PATH_PREFIX)) {
        sendJson(response, { status: 404, body: {} });
      } else if (isWithinRate()) {
        answered += 1;
        const body = {
          name,
          version: 'v1',
          sizeBytes: WEIGHT_SIZE_BYTES,
          digest: computeSha256(name),
        };
        sendJson(response, { status: 200, body });
      } else {
        refused += 1;
        response.setHeader('retry-after', '1');
        sendJson(response, { status: 429, body: {} });
      }
      return Promise.resolve();
    },
  });
  return {
    port: server.port,
    url: server.url,
    counts: () => ({ answered, refused }),
    close: () => server.stop(),
  };

  /** Counts a call and returns whether it is within the limit of the current second. */
  function isWithinRate(): boolean {
    const second = Math.floor(opts.timer.nowMs() / MS_PER_SECOND);
    callsInSecond = second === currentSecond ? callsInSecond + 1 : 1;
    currentSecond = second;
    return callsInSecond <= opts.callsPerSecond;
  }
}
