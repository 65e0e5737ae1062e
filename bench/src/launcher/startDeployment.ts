import { mkdir, readFile, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import type { FaultOrder } from '@galenatiller/fakes';
import { parseRules } from '@galenatiller/operator';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, Host, Rule } from '@galenatiller/types';
import { request } from 'undici';

import type { ZoneChange } from '../checker/history.js';
import { sendFakeRequest } from './sendFakeRequest.js';
import { collectLedgers, type Ledgers, type FakeEndpoint } from './collectLedgers.js';
import type { Deployment } from './deployment.js';
import type { FakeSpeed } from './fakePlan.js';
import { type DeploymentLayout, assignPorts } from './assignPorts.js';
import { ProcessGroup, type ProcessUsage } from './processGroup.js';
import { renderEntrySettings, renderGateSettings, type RoutingPolicy } from './renderSettings.js';
import { createRulesPublisher, type RulesPublisher, setZoneState } from './rulesPublisher.js';

/** Options of {@link startDeployment}. */
export interface StartDeploymentOptions {
  readonly deployment: Deployment;
  readonly timer: TimerService;
  readonly seed: number;
  readonly speed: FakeSpeed;
  readonly routingPolicy: RoutingPolicy;
}

/** A deployment that runs, and what can be done to it. */
export interface RunningDeployment {
  readonly entryUrls: readonly string[];
  readonly fakes: readonly FakeEndpoint[];
  readonly gateNames: readonly string[];
  readonly processes: ProcessGroup;
  readonly getConfiguration: () => Configuration;
  readonly zoneChanges: readonly ZoneChange[];
  readonly setZoneState: (name: string, state: ZoneChange['state']) => Promise<void>;
  readonly publish: RulesPublisher['publish'];
  readonly injectFault: (targetName: string, order: FaultOrder) => Promise<void>;
  /** Changes the faults of the store, as its `POST /faults` takes them. */
  readonly setStoreFaults: (faults: StoreFaults) => Promise<void>;
  /** Store calls so far, by kind. */
  readonly readStoreCallCounts: () => Promise<Readonly<Record<string, number>>>;
  readonly readUsage: () => Promise<readonly ProcessUsage[]>;
  readonly collectLedgers: () => Promise<Ledgers>;
  readonly stop: () => Promise<void>;
}

/** Faults of the store that the bench orders. */
export interface StoreFaults {
  readonly outage?: boolean;
  readonly slowMs?: number;
}

const RUN_FOLDER = '.run';
const DAEMON_SCRIPT = 'packages/daemon/dist/galenatillerd.js';
const FAKE_PROCESS_SCRIPT = 'bench/dist/launcher/fakeProcess.js';

const POLL_INTERVAL_MS = 50;
const START_TIMEOUT_MS = 20_000;

/** Entries read the host list every second; links and first reports follow. */
const LINK_SETTLE_MS = 2_500;

/** Starts every process of a deployment; resolves when its entries are ready. */
export async function startDeployment(opts: StartDeploymentOptions): Promise<RunningDeployment> {
  const { deployment, timer } = opts;
  const folder = join(RUN_FOLDER, deployment.name);
  await rm(folder, { recursive: true, force: true });
  await mkdir(folder, { recursive: true });
  const placed = await assignPorts(deployment);
  const processes = ProcessGroup.create({ folder, timer });
  const rules = await readRules(deployment.rulesFile);
  const publisher = createRulesPublisher({ storeUrl: placed.storeUrl, timer, rules });
  const stop = async (): Promise<void> => {
    await publisher.close();
    await processes.stopAll();
  };
  try {
    await startProcesses({ ...opts, layout: placed, processes, folder, publisher });
  } catch (error) {
    await stop();
    throw error;
  }
  return createRunningDeployment({ layout: placed, processes, publisher, timer, stop });
}

interface StartProcessesOptions extends StartDeploymentOptions {
  readonly layout: DeploymentLayout;
  readonly processes: ProcessGroup;
  readonly folder: string;
  readonly publisher: RulesPublisher;
}

async function startProcesses(opts: StartProcessesOptions): Promise<void> {
  const { layout: placed, publisher, timer, speed } = opts;
  await startFakes(opts);
  await waitUntilReady(timer, [
    `${placed.storeUrl}/calls`,
    `${placed.hostListUrl}/v1/hosts`,
    ...placed.fakes.map(({ url }) => `${url}/runs`),
  ]);
  await putHosts(placed, timer);
  await publisher.publish((rules) => rules);
  await startNodes(opts);
  await waitUntilReady(
    timer,
    placed.entries.map(({ callerPort }) => `http://127.0.0.1:${callerPort}/readyz`),
  );
  // Engines are cold after their start as well.
  await timer.sleep({ delayMs: Math.max(LINK_SETTLE_MS, speed.coldMs) });
}

async function startFakes(opts: StartProcessesOptions): Promise<void> {
  const { layout: placed, processes, folder, seed, speed } = opts;
  const plans = {
    engines: { targets: placed.fakes.filter(({ kind }) => kind === 'engine'), platforms: [] },
    workers: { targets: placed.fakes.filter(({ kind }) => kind !== 'engine'), platforms: [] },
    platform: { targets: [], platforms: [placed.platform] },
  };
  await Promise.all(
    Object.entries(plans).map(async ([name, plan]) => {
      const file = join(folder, `${name}.json`);
      await writeFile(file, JSON.stringify({ seed, speed, ...plan }));
      await processes.start({ name, role: 'fakes', args: [FAKE_PROCESS_SCRIPT, file] });
    }),
  );
}

async function startNodes(opts: StartProcessesOptions): Promise<void> {
  const { layout: placed, processes, folder, routingPolicy, speed } = opts;
  const limits = { inFlightLimit: speed.capacity, coldInFlightLimit: speed.coldLimit };
  const nodes = [
    ...placed.gates.map((gate) => ({
      name: gate.nodeName,
      role: 'gate' as const,
      text: renderGateSettings({ ...gate, ...limits }),
    })),
    ...placed.entries.map((entry) => ({
      name: entry.nodeName,
      role: 'entry' as const,
      text: renderEntrySettings({ ...entry, routingPolicy }),
    })),
  ];
  await Promise.all(
    nodes.map(async ({ name, role, text }) => {
      const file = join(folder, `${name}.ini`);
      await writeFile(file, text);
      await processes.start({ name, role, args: [DAEMON_SCRIPT, role, '--settings', file] });
    }),
  );
}

function createRunningDeployment(opts: {
  readonly layout: DeploymentLayout;
  readonly processes: ProcessGroup;
  readonly publisher: RulesPublisher;
  readonly timer: TimerService;
  readonly stop: () => Promise<void>;
}): RunningDeployment {
  const { layout: layout, processes, publisher, timer } = opts;
  const zoneOrders: ZoneChange[] = [];
  return {
    entryUrls: layout.entries.map(({ callerPort }) => `http://127.0.0.1:${callerPort}`),
    fakes: layout.fakes,
    gateNames: layout.gates.map(({ nodeName }) => nodeName),
    processes,
    getConfiguration: publisher.getConfiguration,
    zoneChanges: zoneOrders,
    setZoneState: async (name, state) => {
      const issuedWallMs = timer.wallMs();
      await publisher.publish((rules) => setZoneState(rules, { name, state }));
      // Nodes may take a zone back in before the publisher has its answer.
      const atWallMs = state === 'in' ? issuedWallMs : timer.wallMs();
      zoneOrders.push({ availabilityZone: name, state, atWallMs });
    },
    publish: publisher.publish,
    injectFault: async (targetName, order) => {
      const url = layout.fakes.find(({ name }) => name === targetName)?.url ?? '';
      await sendFakeRequest({ timer, url: `${url}/faults`, method: 'POST', body: order });
    },
    setStoreFaults: async (faults) => {
      const url = `${layout.storeUrl}/faults`;
      await sendFakeRequest({ timer, url, method: 'POST', body: faults });
    },
    readStoreCallCounts: async () =>
      (await sendFakeRequest({ timer, url: `${layout.storeUrl}/calls` })) as Readonly<
        Record<string, number>
      >,
    readUsage: () => processes.readUsage(),
    collectLedgers: () => collectLedgers({ fakes: layout.fakes, timer }),
    stop: opts.stop,
  };
}

async function readRules(fileName: string): Promise<readonly Rule[]> {
  const parsed = parseRules({ text: await readFile(fileName, 'utf8'), fileName });
  if (parsed.isErr) {
    throw new Error(`${fileName} has ${parsed.error.length} problems`);
  }
  return parsed.value.rules;
}

async function putHosts(placed: DeploymentLayout, timer: TimerService): Promise<void> {
  const { hostListUrl, entries, gates } = placed;
  const hosts: readonly Host[] = [...entries, ...gates].map((node) => ({
    name: node.nodeName,
    address: '127.0.0.1',
    port: node.linkPort,
    operatorPort: node.operatorPort,
    role: 'targets' in node ? 'gate' : 'entry',
    availabilityZone: node.availabilityZone,
    state: 'live',
  }));
  await sendFakeRequest({ timer, url: `${hostListUrl}/v1/hosts`, method: 'PUT', body: { hosts } });
}

async function waitUntilReady(timer: TimerService, urls: readonly string[]): Promise<void> {
  const lastMs = timer.nowMs() + START_TIMEOUT_MS;
  for (const url of urls) {
    while (!(await isReady(url))) {
      if (timer.nowMs() > lastMs) {
        throw new Error(`${url} did not become ready in ${START_TIMEOUT_MS} ms; see the logs`);
      }
      await timer.sleep({ delayMs: POLL_INTERVAL_MS });
    }
  }
}

async function isReady(url: string): Promise<boolean> {
  try {
    const { statusCode, body } = await request(url);
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
}
