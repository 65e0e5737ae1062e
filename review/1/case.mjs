/** One of three workers spoils a byte in the first line of some of its answers. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createConfiguration, hasTrouble, recordCalls, runCase } from '../lib/case.mjs';
import { startRouters } from '../lib/routers.mjs';
import { isServed, startTraffic } from '../lib/send.mjs';
import { Worker } from '../lib/worker.mjs';

const SERVICE = 'floor-desk';
const ZONES = ['vw-a', 'vw-b', 'vw-c'];
const ROUTE_TIMEOUT_MS = 800;
const CLIENT_TIMEOUT_MS = 1_500;
const INTERVAL_MS = 6;
const WORK_MS = 30;
const BEFORE_MS = 3_000;
const AFTER_MS = 5_000;

/** The worker spoils this share of its answers for this time. */
const SPOILED_SHARE = 0.02;
const SPOILED_FOR_MS = 5_000;

/** By the rule, half a second after the timeout of the route, for at least so many requests. */
const NO_ANSWER_MS = ROUTE_TIMEOUT_MS + 500;
const MIN_UNANSWERED = 8;

let isSpoiling = false;

/** Sends bytes that are not a response: the first digit of the status is wrong. */
function spoil({ request, headers }) {
  const head = Object.entries({ ...headers, 'Content-Length': '8' });
  const lines = head.map(([name, value]) => `${name}: ${value}`);
  request.socket.write(['HTTP/1.1 000 OK', ...lines, '', 'released'].join('\r\n'));
}

function startWorkers(store, record) {
  return Promise.all(
    ZONES.map((zone, index) => {
      const run = async (exchange) => {
        await sleep(WORK_MS);
        if (index === 0 && isSpoiling && Math.random() < SPOILED_SHARE) {
          record(`i-${index} spoils its answer to ${exchange.id}`);
          spoil(exchange);
        } else {
          exchange.respond(200, 'released');
        }
      };
      return new Worker({ store, id: `i-${index}`, service: SERVICE, zone, run }).listen();
    }),
  );
}

function describe({ name }, seen, ran) {
  const own = seen.filter(({ router }) => router === name);
  const lost = own.filter(({ end }) => end === 'timeout' || end === 'none');
  const times = lost.map(({ sentAtMs }) => sentAtMs);
  const span = lost.length === 0 ? 0 : Math.round(Math.max(...times) - Math.min(...times));
  const lostRuns = lost.filter(({ id }) => ran.has(id)).length;
  return `${name}: ${own.length} requests, ${own.filter(isServed).length} served, ${lost.length} without any answer (sent over ${span} ms), of which ${lostRuns} ran`;
}

function check(seen, record) {
  const late = seen.filter(({ tookMs }) => tookMs > ROUTE_TIMEOUT_MS);
  const unanswered = late.filter(({ tookMs }) => tookMs > NO_ANSWER_MS).length;
  record(
    `${late.length} had no answer after ${ROUTE_TIMEOUT_MS} ms, ${unanswered} after ${NO_ANSWER_MS} ms`,
  );
  return unanswered >= MIN_UNANSWERED && unanswered * 2 > late.length
    ? [
        `CONFIG: ${unanswered} of ${late.length} requests that were unanswered at the timeout of their route had no answer half a second later`,
      ]
    : [];
}

await runCase(import.meta.url, async ({ store, record }) => {
  const workers = await startWorkers(store, record);
  const route = {
    name: 'batch-release',
    prefix: '/release/',
    kind: 'non_idempotent',
    service: SERVICE,
    timeout_ms: ROUTE_TIMEOUT_MS,
  };
  store.put('op/config', createConfiguration({ routes: [route], services: [{ name: SERVICE }] }));
  const routers = await startRouters({ store, count: 3 });
  const traffic = startTraffic({
    routers,
    intervalMs: INTERVAL_MS,
    createRequest: () => ({ path: '/release/1', body: 'lot a', timeoutMs: CLIENT_TIMEOUT_MS }),
  });
  await sleep(BEFORE_MS);
  isSpoiling = hasTrouble;
  await sleep(SPOILED_FOR_MS);
  isSpoiling = false;
  await sleep(AFTER_MS);
  const seen = await traffic.stop();
  recordCalls({ seen, workers, record });
  const ran = new Set(workers.flatMap(({ runs }) => runs.map(({ id }) => id)));
  routers.forEach((router) => record(describe(router, seen, ran)));
  return check(seen, record);
});
