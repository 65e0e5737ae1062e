// Starts a small deployment: the store with its first configuration, workers and routers.
import { loopback } from './case.mjs';
import { openPath } from './path.mjs';
import { sleep, startRouter, whenReady } from './routers.mjs';
import { send } from './send.mjs';
import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

export const HOST = 'pule25.example';
export const PATH = '/puxa400/2f';
export const MODEL_SERVICE = 'huvo11a';
const KEY = '9dnn2ctnfzs989anu6ws';
const ZONES = ['vw-a', 'vw-b', 'vw-c'];

/** A configuration with the limits and the tenant of every case. */
export const createConfiguration = ({ version, routes, services }) => ({
  version,
  routes,
  services,
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'bozi300', api_keys: [KEY], priority: 1 }],
});

/** A route of streams that may not be resumed, to the model workers. */
export const createRoute = (more = {}) => ({
  name: 'r-mgjqnir',
  host: HOST,
  prefix: '/puxa400/',
  kind: 'streaming',
  timeout_ms: 6_000,
  target_latency_ms: 1_400,
  priority: 1,
  service: MODEL_SERVICE,
  max_attempts: 1,
  stages: [],
  public: false,
  sticky: true,
  resumable: false,
  gap_aim_ms: 500,
  ...more,
});

export const createService = (name, more = {}) => ({
  name,
  health_path: '/healthz',
  max_connections: 500,
  protocol: 'h1',
  tls: false,
  cold_s: 3,
  cold_per_s: 12,
  ...more,
});

async function startRouters({ count, storeAddress, hasPaths }) {
  const zones = ZONES.slice(0, count);
  const paths = hasPaths
    ? await Promise.all(zones.map(() => openPath(loopback(0, 2), storeAddress)))
    : [];
  const routers = await Promise.all(
    zones.map((zone, index) =>
      startRouter({
        name: `front-${zone}-1`,
        host: loopback(2, index + 1),
        zone,
        storeAddress: paths[index]?.address ?? storeAddress,
      }),
    ),
  );
  const areReady = await Promise.all(routers.map((router) => whenReady(router)));
  if (!areReady.every(Boolean)) {
    throw new Error('a router is not ready');
  }
  return { routers, paths };
}

/** Starts everything, and waits until the routers have known each other for a while. */
export async function startSystem({
  configuration,
  services,
  onRequest,
  routers: count,
  hasPaths,
  settleMs,
}) {
  const store = new Store();
  const storeAddress = await store.listen(loopback(0, 1));
  store.put('op/config', configuration);
  const workers = services.map(
    (service, index) =>
      new Worker({
        store,
        service,
        host: loopback(1, index + 1),
        zone: ZONES[index % 3],
        name: `w${index + 1}`,
        onRequest,
      }),
  );
  await Promise.all(workers.map((worker) => worker.start()));
  const { routers, paths } = await startRouters({ count, storeAddress, hasPaths });
  await sleep(settleMs);
  const end = () => {
    workers.forEach((worker) => worker.end());
    paths.forEach((path) => path.close());
    store.close();
  };
  return { store, workers, routers, paths, end };
}

/** Sends a request with a prompt, given as ID:TOKENS separated by commas. */
export const ask = ({ router, prompt, tokens, ...more }) =>
  send({
    router,
    path: PATH,
    host: HOST,
    key: KEY,
    timeoutMs: 6_000,
    ...more,
    headers: {
      'X-Model': 'm',
      'X-Token-Usage': tokens,
      'X-Prefix-Hash': prompt,
      ...more.headers,
    },
  });
