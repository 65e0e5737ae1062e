/** A new version takes five times as long to the first event of a stream, and is rolled out. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createConfiguration, hasTrouble, recordCalls, runCase } from '../lib/case.mjs';
import { startRouters } from '../lib/routers.mjs';
import { isServed, startTraffic } from '../lib/send.mjs';
import { Worker } from '../lib/worker.mjs';

const SERVICE = 'galena-lap';
const ZONES = ['vw-a', 'vw-b', 'vw-c'];
const DURATION_MS = 12_000;
const BEFORE_MS = 3_000;
const AFTER_MS = 14_000;
const INTERVAL_MS = 10;
const POLL_MS = 10;
const PROMPTS = 40;

/** Time to the first event of the old version; the new one takes this times as long. */
const MIN_FIRST_MS = 800;
const MAX_FIRST_MS = 1_200;
const SLOWDOWN = hasTrouble ? 5 : 1;

/** Both versions send the further events at the same pace. */
const EVENTS = 6;
const GAP_MS = 20;

/** Clients abandon a stream without an event after eight times the pause of the route. */
const DEADLINE_MS = 15_000;
const OBJECTIVE_MS = 1_100;
const GAP_AIM_MS = 600;
const ABANDON_MS = 8 * GAP_AIM_MS;

/** Bounds of the rule. */
const EXPOSE_SHARE = 0.1;
const EXPOSE_SLACK = 50;
const ROLLBACK_MS = 5_000;
const BAD_ANSWERS = 50;

/** Times at which whole answers of the new version ended. */
const newAnswersMs = [];

function startVersion(store, version, slowdown) {
  const run = async ({ headers, response }) => {
    await sleep(slowdown * (MIN_FIRST_MS + Math.random() * (MAX_FIRST_MS - MIN_FIRST_MS)));
    if (response.destroyed) {
      return;
    }
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    for (let id = 1; id <= EVENTS; id += 1) {
      response.write(`id: ${id}\ndata: step ${id}\n\n`);
      await sleep(GAP_MS);
    }
    response.end();
    if (version === 'v2') {
      newAnswersMs.push(performance.now());
    }
  };
  return Promise.all(
    ZONES.map((zone, index) => {
      const id = `i-${version}-${index}`;
      return new Worker({ store, id, service: SERVICE, zone, slots: 96, version, run }).listen();
    }),
  );
}

/** Follows the state of the rollout, and stops the old workers at once when it is completed. */
async function followRollout({ store, record, old, untilMs }) {
  let state = '';
  while (performance.now() < untilMs) {
    const status = store.read(`status/rollout/${SERVICE}`);
    if (status && status.state !== state) {
      state = status.state;
      record(`status: ${status.target} ${state}`);
      if (state === 'completed') {
        old.forEach((worker) => {
          worker.withdraw();
          worker.close();
        });
        record('the workers of v1 are stopped');
      }
    }
    await sleep(POLL_MS);
  }
}

/** Checks the rule for the new version, whose answers are all bad. */
function check({ bad, old, orderedAtMs, record }) {
  const isInTime = ({ atMs }) => atMs >= orderedAtMs && atMs <= orderedAtMs + DURATION_MS;
  const arrivals = bad.flatMap(({ runs }) => runs);
  const exposed = arrivals.filter(isInTime).length;
  const total = exposed + old.flatMap(({ runs }) => runs).filter(isInTime).length;
  const allowed = Math.floor(EXPOSE_SHARE * total + EXPOSE_SLACK);
  record(`until its deadline v2 got ${exposed} of ${total} requests; ${allowed} are allowed`);
  const broken = [];
  const limitMs = newAnswersMs.toSorted((left, right) => left - right)[BAD_ANSWERS - 1];
  if (limitMs !== undefined) {
    const later = arrivals.filter(({ atMs }) => atMs > limitMs + ROLLBACK_MS).length;
    const badAfterMs = Math.round(limitMs - orderedAtMs);
    record(`the ${BAD_ANSWERS}th bad answer of v2 came ${badAfterMs} ms after the order`);
    if (later > 0) {
      broken.push(`EXPOSURE: v2 got ${later} requests over ${ROLLBACK_MS} ms after that`);
    }
  }
  if (exposed > allowed) {
    broken.push(`EXPOSURE: until its deadline v2 got ${exposed} of ${total} requests`);
  }
  return broken;
}

await runCase(import.meta.url, async ({ store, record }) => {
  const old = await startVersion(store, 'v1', 1);
  const route = {
    name: 'pakkeliste',
    prefix: '/list/',
    kind: 'streaming',
    service: SERVICE,
    timeout_ms: DEADLINE_MS,
    target_latency_ms: OBJECTIVE_MS,
    gap_aim_ms: GAP_AIM_MS,
    sticky: true,
  };
  store.put('op/config', createConfiguration({ routes: [route], services: [{ name: SERVICE }] }));
  const routers = await startRouters({ store, count: 3 });
  const traffic = startTraffic({
    routers,
    intervalMs: INTERVAL_MS,
    createRequest: (index) => ({
      path: '/list/1',
      body: 'what to pack?',
      timeoutMs: DEADLINE_MS,
      firstByteTimeoutMs: ABANDON_MS,
      headers: {
        'X-Model': 'm',
        'X-Token-Usage': '570,24',
        'X-Prefix-Hash': `${(index % PROMPTS).toString(16)}a7:341,${index.toString(16)}:227`,
      },
    }),
  });
  await sleep(BEFORE_MS);
  const newer = await startVersion(store, 'v2', SLOWDOWN);
  const orderedAtMs = performance.now();
  const value = { service: SERVICE, target: 'v2', duration_s: DURATION_MS / 1_000 };
  store.put(`op/rollout/${SERVICE}`, value);
  record(`the operator orders v2, whose first events take ${SLOWDOWN} times as long`);
  const deadlineAtMs = orderedAtMs + DURATION_MS;
  await followRollout({ store, record, old, untilMs: deadlineAtMs + AFTER_MS });
  const seen = await traffic.stop();
  recordCalls({ seen, workers: [...old, ...newer], record });
  const late = seen.filter(({ sentAtMs }) => sentAtMs > deadlineAtMs);
  const abandoned = late.filter(({ end }) => end === 'timeout').length;
  record(
    `of ${late.length} requests after the deadline of the order, ${late.filter(isServed).length} were served and ${abandoned} abandoned without an event`,
  );
  return hasTrouble ? check({ bad: newer, old, orderedAtMs, record }) : [];
});
