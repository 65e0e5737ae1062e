import { mkdir, readFile, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import type { FaultCommand } from '@galenatiller/fakes';
import { parseRules } from '@galenatiller/operator';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, Host, Rule } from '@galenatiller/types';
import { request } from 'undici';

import type { ZoneOrder } from '../checker/history.js';
import { askFake } from './askFake.js';
import { collectLedgers, type Ledgers, type PlacedFake } from './collectLedgers.js';
import type { Deployment } from './deployment.js';
import type { FakeSpeed } from './fakePlan.js';
import { type PlacedDeployment, placeDeployment } from './placeDeployment.js';
import { ProcessGroup, type ProcessUsage } from './processGroup.js';
import { renderEntrySettings, renderGateSettings, type RoutingPolicy } from './renderSettings.js';
import { createRulesPublisher, type RulesPublisher, withZone } from './rulesPublisher.js';

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
  readonly fakes: readonly PlacedFake[];
  readonly gateNames: readonly string[];
  readonly processes: ProcessGroup;
  readonly configuration: () => Configuration;
  readonly zoneOrders: readonly ZoneOrder[];
  readonly orderZone: (name: string, state: ZoneOrder['state']) => Promise<void>;
  readonly publish: RulesPublisher['publish'];
  readonly orderFault: (targetName: string, order: FaultCommand) => Promise<void>;
  /** Changes the faults of the store, as its `POST /faults` takes them. */
  readonly orderStore: (faults: StoreFaults) => Promise<void>;
  /** Store calls so far, by kind. */
  readonly storeCalls: () => Promise<Readonly<Record<string, number>>>;
  readonly usage: () => Promise<readonly ProcessUsage[]>;
  readonly collect: () => Promise<Ledgers>;
  readonly stop: () => Promise<void>;
}

/** Faults of the store that the bench orders. */
export interface StoreFaults {
  readonly outage?: boolean;
  readonly slowMs?: number;
}

const RUN_FOLDER = '.run';
const DAEMON = 'packages/daemon/dist/galenatillerd.js';
const FAKE_PROCESS = 'bench/dist/launcher/fakeProcess.js';

const POLL_INTERVAL_MS = 50;
const START_LIMIT_MS = 20_000;

/** Entries read the host list every second; links and first reports follow. */
const LINKS_SETTLE_MS = 2_500;

/** Starts every process of a deployment; resolves when its entries are ready. */
export async function startDeployment(opts: StartDeploymentOptions): Promise<RunningDeployment> {
  const { deployment, timer } = opts;
  const folder = join(RUN_FOLDER, deployment.name);
  await rm(folder, { recursive: true, force: true });
  await mkdir(folder, { recursive: true });
  const placed = await placeDeployment(deployment);
  const processes = ProcessGroup.create({ folder, timer });
  const rules = await readRules(deployment.rulesFile);
  const publisher = createRulesPublisher({ storeUrl: placed.storeUrl, timer, rules });
  const stop = async (): Promise<void> => {
    await publisher.close();
    await processes.stopAll();
  };
  try {
    await startProcesses({ ...opts, placed, processes, folder, publisher });
  } catch (error) {
    await stop();
    throw error;
  }
  return describeRunning({ placed, processes, publisher, timer, stop });
}

interface StartProcessesOptions extends StartDeploymentOptions {
  readonly placed: PlacedDeployment;
  readonly processes: ProcessGroup;
  readonly folder: string;
  readonly publisher: RulesPublisher;
}

async function startProcesses(opts: StartProcessesOptions): Promise<void> {
  const { placed, publisher, timer, speed } = opts;
  await startFakes(opts);
  await untilAnswering(timer, [
    `${placed.storeUrl}/calls`,
    `${placed.hostListUrl}/v1/hosts`,
    ...placed.fakes.map(({ url }) => `${url}/runs`),
  ]);
  await putHosts(placed, timer);
  await publisher.publish((rules) => rules);
  await startNodes(opts);
  await untilAnswering(
    timer,
    placed.entries.map(({ callerPort }) => `http://127.0.0.1:${callerPort}/readyz`),
  );
  // Engines are cold after their start as well.
  await timer.sleep({ delayMs: Math.max(LINKS_SETTLE_MS, speed.coldMs) });
}

async function startFakes(opts: StartProcessesOptions): Promise<void> {
  const { placed, processes, folder, seed, speed } = opts;
  const plans = {
    engines: { targets: placed.fakes.filter(({ kind }) => kind === 'engine'), platforms: [] },
    workers: { targets: placed.fakes.filter(({ kind }) => kind !== 'engine'), platforms: [] },
    platform: { targets: [], platforms: [placed.platform] },
  };
  await Promise.all(
    Object.entries(plans).map(async ([name, plan]) => {
      const file = join(folder, `${name}.json`);
      await writeFile(file, JSON.stringify({ seed, speed, ...plan }));
      await processes.start({ name, role: 'fakes', args: [FAKE_PROCESS, file] });
    }),
  );
}

async function startNodes(opts: StartProcessesOptions): Promise<void> {
  const { placed, processes, folder, routingPolicy, speed } = opts;
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
      await processes.start({ name, role, args: [DAEMON, role, '--settings', file] });
    }),
  );
}

function describeRunning(opts: {
  readonly placed: PlacedDeployment;
  readonly processes: ProcessGroup;
  readonly publisher: RulesPublisher;
  readonly timer: TimerService;
  readonly stop: () => Promise<void>;
}): RunningDeployment {
  const { placed, processes, publisher, timer } = opts;
  const zoneOrders: ZoneOrder[] = [];
  return {
    entryUrls: placed.entries.map(({ callerPort }) => `http://127.0.0.1:${callerPort}`),
    fakes: placed.fakes,
    gateNames: placed.gates.map(({ nodeName }) => nodeName),
    processes,
    configuration: publisher.configuration,
    zoneOrders,
    orderZone: async (name, state) => {
      const issuedWallMs = timer.wallMs();
      await publisher.publish((rules) => withZone(rules, { name, state }));
      // Nodes may take a zone back in before the publisher has its answer.
      const atWallMs = state === 'in' ? issuedWallMs : timer.wallMs();
      zoneOrders.push({ availabilityZone: name, state, atWallMs });
    },
    publish: publisher.publish,
    orderFault: async (targetName, order) => {
      const url = placed.fakes.find(({ name }) => name === targetName)?.url ?? '';
      await askFake({ timer, url: `${url}/faults`, method: 'POST', body: order });
    },
    orderStore: async (faults) => {
      const url = `${placed.storeUrl}/faults`;
      await askFake({ timer, url, method: 'POST', body: faults });
    },
    storeCalls: async () =>
      (await askFake({ timer, url: `${placed.storeUrl}/calls` })) as Readonly<
        Record<string, number>
      >,
    usage: () => processes.usage(),
    collect: () => collectLedgers({ fakes: placed.fakes, timer }),
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

async function putHosts(placed: PlacedDeployment, timer: TimerService): Promise<void> {
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
  await askFake({ timer, url: `${hostListUrl}/v1/hosts`, method: 'PUT', body: { hosts } });
}

async function untilAnswering(timer: TimerService, urls: readonly string[]): Promise<void> {
  const lastMs = timer.nowMs() + START_LIMIT_MS;
  for (const url of urls) {
    while (!(await isAnswering(url))) {
      if (timer.nowMs() > lastMs) {
        throw new Error(`${url} did not become ready in ${START_LIMIT_MS} ms; see the logs`);
      }
      await timer.sleep({ delayMs: POLL_INTERVAL_MS });
    }
  }
}

async function isAnswering(url: string): Promise<boolean> {
  try {
    const { statusCode, body } = await request(url);
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
}
