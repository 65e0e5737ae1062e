/** A router's registration is written late and lost with its first lease; then a worker is cold. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createConfiguration, hasTrouble, recordCalls, runCase } from '../lib/case.mjs';
import { startRouters } from '../lib/routers.mjs';
import { isServed, startTraffic } from '../lib/send.mjs';
import { Worker } from '../lib/worker.mjs';

const SERVICE = 'galena-model';
const ZONES = ['vw-a', 'vw-b', 'vw-c'];
const ROUTERS = 5;
const DEADLINE_MS = 6_000;
const WORK_MS = 30;
const INTERVAL_MS = 6;
const BEFORE_MS = 3_000;

/** The lost write is done this much later; the pages allow 1 to 6 s. */
const LATE_MS = 2_400;

/** The store has been sound for this time when the worker becomes cold. */
const SETTLE_MS = 15_000;
const WARM_MS = 2_000;
const COLD_S = 3;
const SECOND_MS = 1_000;

/** Bounds of the rule. */
const COLD_PER_S = 12;
const COLD_OVER = 1.5;
const COLD_SLACK = 5;
const LIMIT = COLD_PER_S * COLD_OVER + COLD_SLACK;

function startWorker(store, zone, index) {
  const run = async ({ headers, response }) => {
    await sleep(WORK_MS);
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    response.end('id: 1\ndata: answer\n\n');
  };
  const id = `i-${index}`;
  return new Worker({ store, id, service: SERVICE, zone, slots: 96, run }).listen();
}

function listMembers(store) {
  const keys = [...store.items.keys()].filter((key) => !/^(op|servers|status)\//.test(key));
  return keys.map((key) => key.split('/').at(-1)).join(' ');
}

/** The most requests that reached a worker within one second, while it was cold. */
function findMost({ runs }, coldAtMs) {
  const times = runs.map(({ atMs }) => atMs);
  const cold = times.filter((atMs) => atMs >= coldAtMs && atMs < coldAtMs + COLD_S * SECOND_MS);
  return Math.max(
    ...cold.map(
      (startMs) => cold.filter((atMs) => atMs >= startMs && atMs < startMs + SECOND_MS).length,
    ),
  );
}

await runCase(import.meta.url, async ({ store, record }) => {
  const workers = await Promise.all(ZONES.map((zone, index) => startWorker(store, zone, index)));
  const route = {
    name: 'stand-svar',
    prefix: '/ask/',
    kind: 'streaming',
    service: SERVICE,
    timeout_ms: DEADLINE_MS,
    target_latency_ms: 2_000,
    gap_aim_ms: 600,
  };
  const services = [{ name: SERVICE, cold_s: COLD_S, cold_per_s: COLD_PER_S }];
  store.put('op/config', createConfiguration({ routes: [route], services }));
  const routers = await startRouters({ store, count: ROUTERS });
  await sleep(BEFORE_MS);
  const [restarted] = routers;
  await restarted.stop();
  if (hasTrouble) {
    store.loseNextWrite({
      lateMs: LATE_MS,
      onLost: ([{ key, lease }]) =>
        record(`the answer to the write of ${key}, lease ${lease}, is lost`),
      onDone: (status) => record(`the lost write is done: ${status}`),
    });
  }
  restarted.start();
  await restarted.waitUntilReady();
  record(`${restarted.name} was stopped by SIGTERM and started again`);
  await sleep(SETTLE_MS);
  record(`routers that are registered: ${listMembers(store)}`);
  const traffic = startTraffic({
    routers,
    intervalMs: INTERVAL_MS,
    createRequest: () => ({ path: '/ask/1', body: 'which prop?', timeoutMs: DEADLINE_MS }),
  });
  await sleep(WARM_MS);
  const [cold] = workers;
  const coldAtMs = performance.now();
  cold.becomeCold(COLD_S * SECOND_MS);
  record(`${cold.id} is cold for ${COLD_S} s`);
  await sleep(COLD_S * SECOND_MS);
  const seen = await traffic.stop();
  recordCalls({ seen, workers, record });
  routers.forEach(({ name }) => {
    const own = seen.filter(({ router }) => router === name);
    record(`${name} served ${own.filter(isServed).length} of ${own.length} requests`);
  });
  const most = findMost(cold, coldAtMs);
  record(`${cold.id} got up to ${most} requests in a second while cold; ${LIMIT} are allowed`);
  return most > LIMIT
    ? [`FAILBACK: a cold worker got ${most} requests in a second, ${LIMIT} are allowed`]
    : [];
});
