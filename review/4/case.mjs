/** A request crashes each worker that begins to run it, after the worker has sent its first event. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createConfiguration, hasTrouble, recordCalls, runCase } from '../lib/case.mjs';
import { startRouters } from '../lib/routers.mjs';
import { isServed, post, startTraffic } from '../lib/send.mjs';
import { Worker } from '../lib/worker.mjs';

const SERVICE = 'galena-lap';
const ZONES = ['vw-a', 'vw-b', 'vw-c'];
const DEADLINE_MS = 6_000;
const EVENTS = 10;
const EVENT_INTERVAL_MS = 40;
const WORKERS = 8;
const INTERVAL_MS = 40;

/** A worker that crashed is back after this time, as a new one. */
const BACK_AFTER_MS = 3_000;

const POISON = 'the dossier that crashes workers';
const POISON_INTERVAL_MS = 2_000;
const POISON_SENDS = 16;

/** Bounds of the rule. */
const CONTACT_MS = 3_000;
const CRASHES = 3;
const MAX_RETRIES = 3;

const crashesMs = [];
const poisonRuns = [];
const workers = [];

/** Starts a worker; it crashes as often as it begins to run the poison request. */
async function startWorker({ store, record, zone }) {
  const id = `i-${workers.length}`;
  const run = async ({ worker, atMs, headers, response, body }) => {
    const isPoison = body.toString() === POISON;
    if (isPoison) {
      poisonRuns.push(atMs);
    }
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    for (let event = 1; event <= EVENTS && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: step ${event}\n\n`);
      await sleep(EVENT_INTERVAL_MS);
      if (isPoison && hasTrouble) {
        crashesMs.push(performance.now());
        record(`${id} crashes`);
        worker.crash();
        await sleep(BACK_AFTER_MS);
        await startWorker({ store, record, zone });
        return;
      }
    }
    response.end();
  };
  const started = new Worker({ store, id, service: SERVICE, zone, slots: 96, run });
  workers.push(started);
  await started.listen();
}

/** Sends the poison request again and again, as its caller does. */
async function sendPoison({ routers, record, createRequest }) {
  const seen = [];
  for (let index = 0; index < POISON_SENDS; index += 1) {
    const router = routers[index % routers.length];
    const call = await post({ router, ...createRequest(POISON) });
    record(`the request came as ${call.id}: ${call.status}, ${call.end}`);
    seen.push(call);
    await sleep(POISON_INTERVAL_MS);
  }
  return seen;
}

function check(record) {
  const thirdMs = crashesMs[CRASHES - 1] ?? Infinity;
  const later = poisonRuns.filter((atMs) => atMs > thirdMs + CONTACT_MS).length;
  record(`the request crashed ${crashesMs.length} workers`);
  record(
    `it reached workers in ${later} retries over ${CONTACT_MS} ms after the third crash; ${MAX_RETRIES} are allowed`,
  );
  return later > MAX_RETRIES
    ? [`BUDGET: a request that had crashed ${CRASHES} workers reached workers in ${later} retries`]
    : [];
}

await runCase(import.meta.url, async ({ store, record }) => {
  await Promise.all(
    Array.from({ length: WORKERS }, (_, index) =>
      startWorker({ store, record, zone: ZONES[index % ZONES.length] }),
    ),
  );
  const route = {
    name: 'flat-walk',
    prefix: '/flat/',
    kind: 'streaming',
    service: SERVICE,
    timeout_ms: DEADLINE_MS,
    target_latency_ms: 1_900,
    gap_aim_ms: 500,
    sticky: true,
  };
  store.put('op/config', createConfiguration({ routes: [route], services: [{ name: SERVICE }] }));
  const routers = await startRouters({ store, count: 3 });
  const createRequest = (body) => ({ path: '/flat/1', body, timeoutMs: DEADLINE_MS });
  const traffic = startTraffic({
    routers,
    intervalMs: INTERVAL_MS,
    createRequest: (index) => createRequest(`question ${index}`),
  });
  const poison = await sendPoison({ routers, record, createRequest });
  const others = await traffic.stop();
  recordCalls({ seen: [...poison, ...others], workers, record });
  const served = others.filter(isServed).length;
  record(`of ${others.length} requests of other callers, ${served} were answered whole`);
  return check(record);
});
