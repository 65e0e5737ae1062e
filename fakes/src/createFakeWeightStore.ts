import type { TimerService } from '@galenatiller/timer';

import { computeSha256 } from './computeSha256.js';
import { FakeServer, sendJson } from './fakeServer.js';

/** Options of {@link createFakeWeightStore}. */
export interface FakeWeightStoreOptions {
  readonly timer: TimerService;
  /** 0 for any free port. */
  readonly port: number;
  /** Calls that are answered in each second; others get status 429. */
  readonly callsPerSecond: number;
}

/** A fake weight store that runs. */
export interface FakeWeightStore {
  readonly port: number;
  readonly url: string;
  /** How many calls were answered and refused. */
  readonly counts: () => { readonly answered: number; readonly refused: number };
  readonly close: () => Promise<void>;
}

const PREFIX = '/v1/weights/';
const MS_PER_SECOND = 1_000;
const SIZE_BYTES = 1_000_000_000;

/** Starts a fake weight store that refuses calls above its rate. */
export async function createFakeWeightStore(
  opts: FakeWeightStoreOptions,
): Promise<FakeWeightStore> {
  let answered = 0;
  let refused = 0;
  let second = 0;
  let callsInSecond = 0;
  const server = await FakeServer.listen({
    port: opts.port,
    handle: ({ path, response }) => {
      const name = decodeURIComponent(path.slice(PREFIX.length));
      if (!path.startsWith(PREFIX)) {
        sendJson(response, { status: 404, body: {} });
      } else if (isWithinRate()) {
        answered += 1;
        const body = { name, version: 'v1', sizeBytes: SIZE_BYTES, digest: computeSha256(name) };
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

  function isWithinRate(): boolean {
    const now = Math.floor(opts.timer.nowMs() / MS_PER_SECOND);
    callsInSecond = now === second ? callsInSecond + 1 : 1;
    second = now;
    return callsInSecond <= opts.callsPerSecond;
  }
}
