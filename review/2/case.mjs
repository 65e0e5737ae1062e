/** A router is killed while it forwards streams whose worker sends no length. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createConfiguration, hasTrouble, recordCalls, runCase } from '../lib/case.mjs';
import { startRouters } from '../lib/routers.mjs';
import { post } from '../lib/send.mjs';
import { Worker } from '../lib/worker.mjs';

const SERVICE = 'galena-lap';
const EVENTS = 20;
const EVENT_INTERVAL_MS = 150;
const STREAMS = 18;
const KILL_AFTER_MS = 1_200;
const DEADLINE_MS = 6_000;

/** Sends a series of events without a length, which ends with its connection. */
async function stream({ response, headers }) {
  response.removeHeader('Transfer-Encoding');
  response.shouldKeepAlive = false;
  response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
  for (let id = 1; id <= EVENTS && !response.destroyed; id += 1) {
    response.write(`id: ${id}\ndata: step ${id} of ${EVENTS}\n\n`);
    await sleep(EVENT_INTERVAL_MS);
  }
  response.end();
}

await runCase(import.meta.url, async ({ store, record }) => {
  const worker = new Worker({ store, id: 'i-0', service: SERVICE, slots: 96, run: stream });
  await worker.listen();
  const route = {
    name: 'flat-walk',
    prefix: '/flat/',
    kind: 'streaming',
    service: SERVICE,
    timeout_ms: DEADLINE_MS,
    target_latency_ms: 1_900,
    gap_aim_ms: 500,
  };
  store.put('op/config', createConfiguration({ routes: [route], services: [{ name: SERVICE }] }));
  const routers = await startRouters({ store, count: 6 });
  const calls = Array.from({ length: STREAMS }, (_, index) =>
    post({
      router: routers[index % routers.length],
      path: '/flat/step',
      body: 'which lap next?',
      timeoutMs: DEADLINE_MS,
    }),
  );
  await sleep(KILL_AFTER_MS);
  if (hasTrouble) {
    const [killed] = routers;
    killed.kill('SIGKILL');
    record(`SIGKILL to ${killed.name}`);
  }
  const seen = await Promise.all(calls);
  recordCalls({ seen, workers: [worker], record });
  return seen.flatMap(({ id, router, end, status, text }) => {
    const events = text.split('\n\n').length - 1;
    record(`${id} at ${router}: ${end}, ${events} of ${EVENTS} events`);
    return end === 'complete' && status === 200 && events < EVENTS
      ? [`ORDER: the stream ${id} ended as complete after ${events} of ${EVENTS} events`]
      : [];
  });
});
