/** A router and an entry as processes of their own, for the feature on callers that keep no limits. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { indexRules, publishConfiguration } from '@galenatiller/configuration';
import {
  createFakeHostList,
  createFakeStoreServer,
  FakePlatformStore,
  FakeStore,
  type FakeTarget,
  findFreePorts,
  type HostileCallersOptions,
} from '@galenatiller/fakes';
import { parseRules } from '@galenatiller/operator';
import { CallBudget, createHttpTransport, StoreClient } from '@galenatiller/store';
import type { Host } from '@galenatiller/types';
import { request } from 'undici';

import type { CleanUps } from './cleanUps.js';
import { type EndToEndDeployment, startGate, timer } from './endToEndDeployment.js';
import { answerAsService, answerAsWorker } from './hostileAnswers.js';

/** A process of the system, and how its callers send requests. */
export interface HostileFront {
  readonly process: ChildProcess;
  /** Ports by what they are for; `callers` is one of them. */
  readonly ports: Readonly<Record<string, number>>;
  readonly sending: Omit<HostileCallersOptions, 'port' | 'forms' | 'callers'>;
  /** Headers of an ordinary request. */
  readonly headers: Readonly<Record<string, string>>;
  readonly readErrors: () => string;
}

/** What the machine of the process has, as its settings state it. */
export interface HostileMachine {
  readonly memoryMb: number;
  readonly maxDescriptors: number;
}

function renderMachine({ memoryMb, maxDescriptors }: HostileMachine): readonly string[] {
  return [`memory-mb = ${memoryMb}`, `max-descriptors = ${maxDescriptors}`];
}

const KEY = 'example-key-lautoka-floor';
const SECRET = 'a1'.repeat(32);
const ROUTE_TIMEOUT_MS = 2_000;
const MAX_START_MS = 15_000;
const POLL_MS = 50;

/** Bodies of requests are JSON, as the entry reads no others. */
const BODY = '{"body":"job"}';
const LARGE_BODY = '{"body":"large"}';

const RULES = [
  'organisation lautoka-floor key-sha256=b0ca48b73fc767aba23e7a568ef89cd716f2e7fef32762046fae61ac07f2ab1d weight=1',
  'stage call-floor call on floor',
  'route call-floor = call-floor deadline=3s priority=interactive',
  'zone north-a in',
];

/** Starts a router with a store and a worker in this process. */
export async function startRouterFront(
  machine: HostileMachine,
  cleanUps: CleanUps,
): Promise<HostileFront> {
  const store = await FakePlatformStore.listen();
  cleanUps.add(() => store.close());
  const worker = await listen(answerAsWorker);
  cleanUps.add(() => closeServer(worker));
  store.put({ key: 'op/config', value: createRouterConfiguration() });
  store.put({
    key: 'servers/worker-1',
    value: {
      service: 'shop',
      address: `127.0.0.1:${portOf(worker)}`,
      zone: 'zone-a',
      version: 'v1',
      slots: 4,
      state: 'ready',
      cold_left_ms: 0,
      sequence: 1,
    },
  });
  const [callers = 0, readiness = 0, metrics = 0, link = 0] = await findFreePorts(4);
  const settings = [
    '[node]',
    'name = router-1',
    'availability-zone = zone-a',
    ...renderMachine(machine),
    '[caller]',
    `listen = 127.0.0.1:${callers}`,
    `listen-ready = 127.0.0.1:${readiness}`,
    '[store]',
    `address = ${store.address}`,
    '[link]',
    `listen = 127.0.0.1:${link}`,
    '[metrics]',
    `port = ${metrics}`,
  ];
  return startFront({
    createArguments: () => ['--max-semi-space-size=4', 'target/router.mjs'],
    settings,
    readyUrl: `http://127.0.0.1:${readiness}/-/readyz`,
    ports: { callers, readiness, metrics },
    sending: {
      ...createSending('/job/x'),
      largePath: '/job/large',
      streamPath: '/stream/x',
      usualHeaders: ['X-Request-Id: hostile', `X-Timeout-Ms: ${ROUTE_TIMEOUT_MS}`],
      maxBodyBytes: 4_194_304,
    },
    headers: { 'x-request-id': 'other', 'x-timeout-ms': '1500' },
    cleanUps,
  });
}

/** Starts an entry with a store, a host list, a gate and a service in this process. */
export async function startEntryFront(
  machine: HostileMachine,
  cleanUps: CleanUps,
): Promise<HostileFront> {
  const service = await listen(answerAsService);
  cleanUps.add(() => closeServer(service));
  const serviceUrl = `http://127.0.0.1:${portOf(service)}`;
  const { rules } = parseRules({
    text: `${RULES.map((rule) => `${rule} # asked by Mere Vakacegu`).join('\n')}\n`,
    fileName: 'test.rules',
  }).unwrapOrElse((problems) => {
    throw new Error(JSON.stringify(problems));
  });
  const storeServer = createFakeStoreServer({ store: FakeStore.create({ timer }) });
  await once(storeServer.listen(0, '127.0.0.1'), 'listening');
  cleanUps.add(() => closeServer(storeServer));
  const storeUrl = `http://127.0.0.1:${portOf(storeServer)}`;
  await publish(storeUrl, rules);
  const gate = {
    engines: [],
    pools: [],
    floorService: { url: serviceUrl } as FakeTarget,
    stopGate: new AbortController(),
  } as unknown as EndToEndDeployment;
  cleanUps.add(() => gate.gateEnd);
  cleanUps.add(() => gate.stopGate.abort());
  const gatePort = await startGate(gate, indexRules({ revision: 1, rules }));
  const hostList = await createFakeHostList({ timer, port: 0, lagMs: 0 });
  cleanUps.add(() => hostList.close());
  hostList.setHosts([createGateHost(gatePort)]);
  const [callers = 0, operator = 0, link = 0] = await findFreePorts(3);
  const settings = [
    '[node]',
    'name = entry-1',
    'availability-zone = north-a',
    ...renderMachine(machine),
    '[caller]',
    `listen-port = ${callers}`,
    '[link]',
    `listen-port = ${link}`,
    `keys = ${SECRET}`,
    '[operator]',
    `listen-port = ${operator}`,
    `keys = ${SECRET}`,
    '[platform]',
    `store-url = ${storeUrl}`,
    `host-list-url = ${hostList.url}`,
  ];
  return startFront({
    createArguments: (file) => [
      'packages/daemon/dist/galenatillerd.js',
      'entry',
      '--settings',
      file,
    ],
    settings,
    readyUrl: `http://127.0.0.1:${callers}/readyz`,
    ports: { callers, operator },
    sending: {
      ...createSending('/v1/routes/call-floor'),
      largePath: '/v1/routes/call-floor',
      streamPath: '/v1/routes/call-floor',
      usualHeaders: ['Deadline-Ms: 2000'],
      maxBodyBytes: 262_144,
    },
    headers: { 'deadline-ms': '1500' },
    cleanUps,
  });
}

function createSending(path: string) {
  return {
    path,
    headers: ['Host: 127.0.0.1', `Authorization: Bearer ${KEY}`],
    body: BODY,
    largeBody: LARGE_BODY,
  };
}

function createRouterConfiguration(): object {
  return {
    version: 1,
    routes: ['job', 'stream'].map((name) => ({
      name,
      host: '127.0.0.1',
      prefix: `/${name}/`,
      kind: name === 'stream' ? 'streaming' : 'non_idempotent',
      timeout_ms: ROUTE_TIMEOUT_MS,
      service: 'shop',
      max_attempts: 1,
    })),
    services: [{ name: 'shop', max_connections: 10_000 }],
    tenants: [{ name: 'organisation', api_keys: [KEY] }],
  };
}

function createGateHost(port: number): Host {
  return {
    name: 'gate-1',
    address: '127.0.0.1',
    port,
    operatorPort: 0,
    role: 'gate',
    availabilityZone: 'north-a',
    state: 'live',
  };
}

async function publish(
  storeUrl: string,
  rules: Parameters<typeof publishConfiguration>[0]['rules'],
): Promise<void> {
  const transport = createHttpTransport({ url: storeUrl });
  const budget = CallBudget.create({ timer, callsPerSecond: 100, maxBurstCalls: 100 });
  const store = StoreClient.create({ transport: transport.call, timer, budget });
  const published = await publishConfiguration({
    store,
    timer,
    author: 'test',
    baseRevision: 0,
    rules,
  }).finally(() => transport.close());
  if (published.isErr) {
    throw new Error(published.error.error.detail);
  }
}

async function startFront(opts: {
  readonly createArguments: (settingsFile: string) => readonly string[];
  readonly settings: readonly string[];
  readonly readyUrl: string;
  readonly ports: HostileFront['ports'];
  readonly sending: HostileFront['sending'];
  readonly headers: Readonly<Record<string, string>>;
  readonly cleanUps: CleanUps;
}): Promise<HostileFront> {
  const folder = await mkdtemp(join(tmpdir(), 'hostile-'));
  opts.cleanUps.add(() => rm(folder, { recursive: true }));
  const file = join(folder, 'settings.ini');
  await writeFile(file, opts.settings.join('\n'));
  const child = spawn(process.execPath, [...opts.createArguments(file)], {
    env: { GALENATILLER_NODE_FILE: file },
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  opts.cleanUps.add(() => killChild(child));
  let errors = '';
  child.stderr.on('data', (text) => {
    errors = `${errors}${String(text)}`.slice(-4_000);
  });
  await waitUntilReady(opts.readyUrl, () => errors);
  return {
    process: child,
    ports: opts.ports,
    sending: opts.sending,
    headers: { authorization: `Bearer ${KEY}`, ...opts.headers },
    readErrors: () => errors,
  };
}

/** Resolves once the process is gone. */
async function killChild(child: ChildProcess): Promise<void> {
  const isRunning = child.pid !== undefined && child.exitCode === null && child.signalCode === null;
  if (isRunning) {
    child.kill('SIGKILL');
    await once(child, 'exit');
  }
}

async function waitUntilReady(url: string, readErrors: () => string): Promise<void> {
  const untilMs = performance.now() + MAX_START_MS;
  while (!(await isReady(url))) {
    if (performance.now() > untilMs) {
      throw new Error(`the process never became ready: ${readErrors()}`);
    }
    await sleep(POLL_MS);
  }
}

async function isReady(url: string): Promise<boolean> {
  try {
    const response = await request(url);
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    // The port is not open yet.
    return false;
  }
}

async function listen(handle: RequestListener): Promise<Server> {
  const server = createServer(handle);
  await once(server.listen(0, '127.0.0.1'), 'listening');
  return server;
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

async function closeServer(server: Server): Promise<void> {
  server.closeAllConnections();
  server.close();
  await once(server, 'close');
}
