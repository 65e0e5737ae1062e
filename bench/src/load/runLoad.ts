import type { TimerService } from '@galenatiller/timer';
import type { Configuration } from '@galenatiller/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { Agent } from 'undici';

import { computeExpectedResult } from './computeExpectedResult.js';
import { type PlannedRequest, planRequest } from './plannedRequest.js';
import type { RouteShare } from './requestMix.js';
import { sendRequest, type TimedRequest } from './sendRequest.js';

/** Options of {@link runLoad}. */
export interface RunLoadOptions {
  readonly timer: TimerService;
  readonly seed: number;
  readonly durationMs: number;
  /** Arrivals per second at a time since the start. */
  readonly ratePerSecond: (elapsedMs: number) => number;
  readonly mix: readonly RouteShare[];
  /** Share of at-most-once requests that are sent a second time with the same idempotency key. */
  readonly duplicateShare: number;
  readonly poisonMarker: string;
  readonly poisonShare: number;
  readonly floodOrganisation: string;
  readonly getConfiguration: () => Configuration;
  readonly entryUrls: readonly string[];
  /** Called with each request that has ended. */
  readonly onEnded?: (request: TimedRequest) => void;
}

const MS_PER_SECOND = 1_000;

/** Longest delay before the duplicate of a request is sent. */
const MAX_DUPLICATE_DELAY_MS = 400;

const MAX_CONNECTIONS_PER_ENTRY = 512;

/** Sends an open-loop load: arrivals do not wait for responses. Resolves when all requests end. */
export async function runLoad(opts: RunLoadOptions): Promise<readonly TimedRequest[]> {
  const { timer, durationMs } = opts;
  const random = xoroshiro128plus(opts.seed);
  const dispatcher = new Agent({ connections: MAX_CONNECTIONS_PER_ENTRY });
  const running: Promise<TimedRequest>[] = [];
  const startMs = timer.nowMs();
  const send = (planned: PlannedRequest, baseUrl: string): void => {
    const expected = computeExpectedResult(opts.getConfiguration(), planned);
    const ended = sendRequest({ planned, expected, baseUrl, dispatcher, timer });
    running.push(ended);
    ended.then(opts.onEnded).catch(() => {});
  };
  let number = 0;
  let nextMs = 0;
  for (;;) {
    const ratePerSecond = opts.ratePerSecond(nextMs);
    nextMs += (-Math.log(1 - uniformFloat64(random)) / ratePerSecond) * MS_PER_SECOND;
    if (nextMs > durationMs) {
      break;
    }
    number += 1;
    const planned = planRequest({
      ...opts,
      configuration: opts.getConfiguration(),
      random,
      number,
    });
    const { firstUrl, secondUrl, duplicateDelayMs } = drawEntries(opts, random);
    await timer.sleep({ delayMs: startMs + nextMs - timer.nowMs() });
    send(planned, firstUrl);
    if (planned.atMostOnce && uniformFloat64(random) < opts.duplicateShare) {
      timer.after({ delayMs: duplicateDelayMs, notify: () => send(planned, secondUrl) });
    }
  }
  await timer.sleep({ delayMs: MAX_DUPLICATE_DELAY_MS });
  const ended = await Promise.all(running);
  await dispatcher.close();
  return ended;
}

interface DrawnEntries {
  readonly firstUrl: string;
  /** Entry that gets the duplicate, if there is one. */
  readonly secondUrl: string;
  readonly duplicateDelayMs: number;
}

function drawEntries({ entryUrls }: RunLoadOptions, random: RandomGenerator): DrawnEntries {
  const index = Math.floor(uniformFloat64(random) * entryUrls.length);
  return {
    firstUrl: entryUrls[index] ?? '',
    secondUrl: entryUrls[(index + 1) % entryUrls.length] ?? '',
    duplicateDelayMs: uniformFloat64(random) * MAX_DUPLICATE_DELAY_MS,
  };
}
