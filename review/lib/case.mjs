/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
import { writeFileSync } from 'node:fs';

import { Store } from './store.mjs';

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** A case that takes longer has gone wrong. */
const LIMIT_MS = 110_000;

/** Key of the only tenant. */
const KEY = '9dnn2ctnfzs989anu6ws';

const startedAtMs = performance.now();

let nextId = Math.floor(Math.random() * 2 ** 32);

/** Creates a request id. */
export function createRequestId() {
  nextId += 1;
  return nextId.toString(16).padStart(16, '0');
}

/**
 * Runs a case in its folder. `run` gets the store and a `record` function, and resolves with the texts
 * of what breaks the rule.
 */
export async function runCase(moduleUrl, run) {
  const lines = [];
  const record = (text) => {
    lines.push(`${toSeconds(performance.now())} ${text}`);
  };
  const finish = (code, text) => {
    record(text);
    writeFileSync(new URL('record.txt', moduleUrl), `${lines.join('\n')}\n`);
    process.stdout.write(`${text}\n`);
    process.exit(code);
  };
  setTimeout(() => finish(2, 'could not run: the case took too long'), LIMIT_MS);
  record(hasTrouble ? 'with the disruption' : 'without the disruption');
  try {
    const broken = await run({ store: new Store(), record });
    broken.forEach((text) => record(text));
    const [first] = broken;
    finish(first ? 1 : 0, first ? `rule broken: ${first}` : 'the rule held');
  } catch (error) {
    finish(2, `could not run: ${error.stack}`);
  }
}

/** Records what clients sent and saw, and which workers ran it. */
export function recordCalls({ seen, workers, record }) {
  const runs = new Map();
  workers.forEach((worker) => {
    worker.runs.forEach(({ id, atMs }) => {
      runs.set(id, [...(runs.get(id) ?? []), `${worker.id} at ${toSeconds(atMs)}`]);
    });
  });
  seen.forEach(({ id, router, sentAtMs, status, end, tookMs }) => {
    const ran = runs.get(id)?.join(', ') ?? 'no worker';
    const answer = `${status === 0 ? 'no status' : status}, ${end} after ${tookMs} ms`;
    record(`request ${id} sent to ${router} at ${toSeconds(sentAtMs)}: ${answer}; run by ${ran}`);
  });
}

function toSeconds(timeMs) {
  return ((timeMs - startedAtMs) / 1_000).toFixed(3);
}

/** Creates a configuration like that of a small deployment, with the given routes and services. */
export function createConfiguration({ routes, services, version = 1 }) {
  return {
    version,
    routes: routes.map((route) => ({
      host: 'jepu9.example',
      timeout_ms: 800,
      target_latency_ms: 150,
      priority: 2,
      max_attempts: 1,
      stages: [],
      public: false,
      sticky: false,
      resumable: false,
      ...route,
    })),
    services: services.map((service) => ({
      health_path: '/healthz',
      max_connections: 500,
      protocol: 'h1',
      tls: false,
      cold_s: 0,
      cold_per_s: 0,
      ...service,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'bozi300', api_keys: [KEY], priority: 1 }],
  };
}

/** Creates the headers of a client's request. */
export function createHeaders({ id, timeoutMs, more = {} }) {
  return {
    Host: 'jepu9.example',
    'X-Request-Id': id,
    'X-Timeout-Ms': String(timeoutMs),
    Authorization: `Bearer ${KEY}`,
    ...more,
  };
}
