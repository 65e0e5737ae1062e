/** Workers leave, some without reporting it, while the store closes waiting watches now and then. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createConfiguration, hasTrouble, recordCalls, runCase } from '../lib/case.mjs';
import { startRouters } from '../lib/routers.mjs';
import { isServed, startTraffic } from '../lib/send.mjs';
import { Worker } from '../lib/worker.mjs';

const SERVICE = 'floor-desk';
const ZONES = ['vw-a', 'vw-b', 'vw-c'];
const REPLACEMENTS = 80;
const REPLACE_INTERVAL_MS = 1_000;
const MIN_OVERLAP_MS = 300;
const MAX_OVERLAP_MS = 800;
/** One in so many workers leaves without reporting it, the others report that they are draining. */
const SILENT_ONE_IN = 3;
const SETTLE_MS = 3_000;
const INTERVAL_MS = 8;
const WORK_MS = 30;
const ROUTE_TIMEOUT_MS = 800;
const CLIENT_TIMEOUT_MS = 1_500;

/** Bound of the rule; a worker exits a little later. */
const DRAIN_MS = 2_000;
const EXIT_AFTER_MS = DRAIN_MS + 100;

const MIN_CUT_INTERVAL_MS = 300;
const MAX_CUT_INTERVAL_MS = 700;

let started = 0;
let isEnded = false;

function pickBetween(min, max) {
  return min + Math.random() * (max - min);
}

function startWorker(store, zone) {
  started += 1;
  const run = async ({ respond }) => {
    await sleep(WORK_MS);
    respond(200, 'released');
  };
  return new Worker({ store, id: `i-${started}`, service: SERVICE, zone, run }).listen();
}

async function cutWatches({ store, record }) {
  while (!isEnded && hasTrouble) {
    await sleep(pickBetween(MIN_CUT_INTERVAL_MS, MAX_CUT_INTERVAL_MS));
    store.cutWatches('servers/');
    record('the store closes the waiting watches of servers/');
  }
}

/** Replaces workers one after another; returns those that left, and when. */
async function replaceWorkers({ store, record, workers }) {
  const left = [];
  for (let index = 0; index < REPLACEMENTS; index += 1) {
    const [old] = workers.splice(0, 1);
    workers.push(await startWorker(store, old.zone));
    const overlapMs = pickBetween(MIN_OVERLAP_MS, MAX_OVERLAP_MS);
    await sleep(overlapMs);
    const isSilent = index % SILENT_ONE_IN === 0;
    if (isSilent) {
      old.withdraw();
    } else {
      old.drain();
    }
    left.push({ worker: old, leftAtMs: performance.now() });
    record(
      `${old.id} ${isSilent ? 'leaves: its entry is removed' : 'reports that it is draining'}`,
    );
    setTimeout(() => {
      old.withdraw();
      old.close();
      record(`${old.id} exits`);
    }, EXIT_AFTER_MS);
    await sleep(REPLACE_INTERVAL_MS - overlapMs);
  }
  await sleep(EXIT_AFTER_MS);
  return left;
}

function check(left, record) {
  return left.flatMap(({ worker, leftAtMs }) => {
    const times = worker.runs.map(({ atMs }) => atMs - leftAtMs);
    const lastMs = Math.round(Math.max(0, ...times));
    const late = times.filter((afterMs) => afterMs > DRAIN_MS).length;
    record(`${worker.id}: the last request came ${lastMs} ms after it left`);
    return late > 0
      ? [
          `DRAIN: ${worker.id} got ${late} requests over ${DRAIN_MS} ms after the store had its leaving, the last after ${lastMs} ms`,
        ]
      : [];
  });
}

await runCase(import.meta.url, async ({ store, record }) => {
  const workers = await Promise.all(ZONES.map((zone) => startWorker(store, zone)));
  const route = {
    name: 'batch-release',
    prefix: '/release/',
    kind: 'non_idempotent',
    service: SERVICE,
    timeout_ms: ROUTE_TIMEOUT_MS,
  };
  store.put('op/config', createConfiguration({ routes: [route], services: [{ name: SERVICE }] }));
  const routers = await startRouters({ store, count: 3 });
  await sleep(SETTLE_MS);
  const traffic = startTraffic({
    routers,
    intervalMs: INTERVAL_MS,
    createRequest: () => ({ path: '/release/1', body: 'lot a', timeoutMs: CLIENT_TIMEOUT_MS }),
  });
  const cutting = cutWatches({ store, record });
  const left = await replaceWorkers({ store, record, workers });
  isEnded = true;
  await cutting;
  const seen = await traffic.stop();
  recordCalls({ seen, workers: [...workers, ...left.map(({ worker }) => worker)], record });
  const lost = seen.filter(({ status }) => status === 502).length;
  record(
    `${seen.filter(isServed).length} of ${seen.length} requests were served, ${lost} ended with 502`,
  );
  return check(left, record);
});
