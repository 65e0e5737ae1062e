/** Sends calls of one kind to routers at a steady rate. */
import type { TimerService } from '@galenatiller/timer';
import { Agent, request } from 'undici';

import type { RouterProcess } from './startSite.js';
import { BEARER_KEY } from './siteConfiguration.js';

/** Kinds of calls, by the route that they take. */
export type CallKind = 'plain' | 'stream' | 'staged';

/** Options of {@link sendCalls}. */
export interface SendCallsOptions {
  readonly timer: TimerService;
  readonly kind: CallKind;
  readonly routers: readonly RouterProcess[];
  /** Calls a second to each router. */
  readonly perSecond: number;
  readonly durationMs: number;
}

/** How calls ended. */
export interface CallCounts {
  readonly answered: number;
  /** For each call that failed, its kind and why. */
  readonly failures: readonly string[];
}

const ANSWERED = 'answered';

const TIMEOUT_MS = 2_500;
const MS_PER_S = 1_000;
const BODY = JSON.stringify({ input: 'x'.repeat(500) });

/** Sends calls and waits for the end of each. */
export async function sendCalls(opts: SendCallsOptions): Promise<CallCounts> {
  const { timer, routers, perSecond, durationMs } = opts;
  const agent = new Agent({ connections: 32, keepAliveTimeout: 4_000 });
  const startedMs = timer.nowMs();
  const total = Math.floor((durationMs / MS_PER_S) * perSecond);
  const sent: Promise<string>[] = [];
  for (let number = 0; number < total; number += 1) {
    // Calls that are due at once would be read together; each router gets its own at another time.
    for (const [index, router] of routers.entries()) {
      const slot = number + index / routers.length;
      const delayMs = startedMs + (slot * MS_PER_S) / perSecond - timer.nowMs();
      if (delayMs > 0) {
        await timer.sleep({ delayMs });
      }
      sent.push(sendCall({ ...opts, agent, router, id: `${opts.kind}-${number}-${index}` }));
    }
  }
  const results = await Promise.all(sent);
  await agent.close();
  const failures = results.filter((result) => result !== ANSWERED);
  return {
    answered: results.length - failures.length,
    failures: failures.map((failure) => `${opts.kind}: ${failure}`),
  };
}

/** Sends one call; returns why it failed, or that it was answered. */
async function sendCall(opts: {
  readonly agent: Agent;
  readonly router: RouterProcess;
  readonly kind: CallKind;
  readonly id: string;
}): Promise<string> {
  const { agent, router, kind, id } = opts;
  try {
    const { statusCode, body } = await request(`${router.url}/${kind}/x`, {
      method: 'POST',
      dispatcher: agent,
      body: BODY,
      headers: {
        authorization: `Bearer ${BEARER_KEY}`,
        'content-type': 'application/json',
        'x-request-id': id,
        'x-timeout-ms': String(TIMEOUT_MS),
        'x-prefix-hash': `shared-${id.length}:100,${id}:20`,
        'x-token-usage': '120,10',
        ...(kind === 'staged' ? { 'x-pieces': '1,1', 'x-piece-key': id } : {}),
      },
    });
    const text = await body.text();
    return statusCode === 200 && text !== '' ? ANSWERED : `status ${statusCode}`;
  } catch (error) {
    return error instanceof Error ? error.message : 'no answer';
  }
}
