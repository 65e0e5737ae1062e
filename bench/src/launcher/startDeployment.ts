import { mkdir, readFile, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import type { FaultCommand } from '@galenatiller/fakes';
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

/** A running deployment and the operations on it. */
export interface RunningDeployment {
  readonly entryUrls: readonly string[];
  readonly fakes: readonly FakeEndpoint[];
  readonly gateNames: readonly string[];
  readonly processes: ProcessGroup;
  readonly getConfiguration: () => Configuration;
  /** Changes of zones so far, for the checker. */
  readonly zoneChanges: readonly ZoneChange[];
  readonly setZoneState: (name: string, state: ZoneChange['state']) => Promise<void>;
  readonly publish: RulesPublisher['publish'];
  readonly injectFault: (targetName: string, fault: FaultCommand) => Promise<void>;
  /** Changes the faults of the fake store with `POST /faults`. */
  readonly setStoreFaults: (faults: StoreFaults) => Promise<void>;
  /** Number of store calls so far, by kind. */
  readonly readStoreCallCounts: () => Promise<Readonly<Record<string, number>>>;
  readonly readUsage: () => Promise<readonly ProcessUsage[]>;
  readonly collectLedgers: () => Promise<Ledgers>;
  readonly stop: () => Promise<void>;
}

/** Faults that a scenario can inject into the fake store. */
export interface StoreFaults {
  readonly outage?: boolean;
  readonly slowMs?: number;
}

const RUN_FOLDER = '.run';
const DAEMON_SCRIPT = 'packages/daemon/dist/galenatillerd.js';
const FAKE_PROCESS_SCRIPT = 'bench/dist/launcher/fakeProcess.js';

const POLL_INTERVAL_MS = 50;
const START_TIMEOUT_MS = 20_000;

/** Time for entries to poll the host list, once a second, open links and get the first reports. */
const LINK_SETTLE_MS = 2_500;

/** Starts every process of a deployment; resolves when its entries are ready. */
export async function startDeployment(opts: StartDeploymentOptions): Promise<RunningDeployment> {
  const { deployment, timer } = opts;
  const folder = join(RUN_FOLDER, deployment.name);
  await rm(folder, { recursive: true, force: true });
  await mkdir(folder, { recursive: true });
  const layout = await assignPorts(deployment);
  const processes = ProcessGroup.create({ folder, timer });
  const rules = await readRules(deployment.rulesFile);
  const publisher = createRulesPublisher({ storeUrl: layout.storeUrl, timer, rules });
  const stop = async (): Promise<void> => {
    await publisher.close();
    await processes.stopAll();
  };
  try {
    await startProcesses({ ...opts, layout, processes, folder, publisher });
  } catch (error) {
    await stop();
    throw error;
  }
  return createRunningDeployment({ layout, processes, publisher, timer, stop });
}

interface StartProcessesOptions extends StartDeploymentOptions {
  readonly layout: DeploymentLayout;
  readonly processes: ProcessGroup;
  readonly folder: string;
  readonly publisher: RulesPublisher;
}

async function startProcesses(opts: StartProcessesOptions): Promise<void> {
  const { layout, publisher, timer, speed } = opts;
  await startFakes(opts);
  await waitUntilReady(timer, [
    `${layout.storeUrl}/calls`,
    `${layout.hostListUrl}/v1/hosts`,
    ...layout.fakes.map(({ url }) => `${url}/runs`),
  ]);
  await putHosts(layout, timer);
  await publisher.publish((rules) => rules);
  await startNodes(opts);
  await waitUntilReady(
    timer,
    layout.entries.map(({ callerPort }) => `http://127.0.0.1:${callerPort}/readyz`),
  );
  // Engines are cold after a start; the load must find them warm.
  await timer.sleep({ delayMs: Math.max(LINK_SETTLE_MS, speed.coldMs) });
}

async function startFakes(opts: StartProcessesOptions): Promise<void> {
  const { layout, processes, folder, seed, speed } = opts;
  const plans = {
    engines: { targets: layout.fakes.filter(({ kind }) => kind === 'engine'), platforms: [] },
    workers: { targets: layout.fakes.filter(({ kind }) => kind !== 'engine'), platforms: [] },
    platform: { targets: [], platforms: [layout.platform] },
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
  const { layout, processes, folder, routingPolicy, speed } = opts;
  const limits = { inFlightLimit: speed.capacity, coldInFlightLimit: speed.coldLimit };
  const nodes = [
    ...layout.gates.map((gate) => ({
      name: gate.nodeName,
      role: 'gate' as const,
      text: renderGateSettings({ ...gate, ...limits }),
    })),
    ...layout.entries.map((entry) => ({
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
  const { layout, processes, publisher, timer } = opts;
  const zoneChanges: ZoneChange[] = [];
  return {
    entryUrls: layout.entries.map(({ callerPort }) => `http://127.0.0.1:${callerPort}`),
    fakes: layout.fakes,
    gateNames: layout.gates.map(({ nodeName }) => nodeName),
    processes,
    getConfiguration: publisher.getConfiguration,
    zoneChanges,
    setZoneState: async (name, state) => {
      const sentWallMs = timer.wallMs();
      await publisher.publish((rules) => setZoneState(rules, { name, state }));
      // Nodes may use a zone again before the publisher has its response.
      const atWallMs = state === 'in' ? sentWallMs : timer.wallMs();
      zoneChanges.push({ availabilityZone: name, state, atWallMs });
    },
    publish: publisher.publish,
    injectFault: async (targetName, fault) => {
      const url = layout.fakes.find(({ name }) => name === targetName)?.url ?? '';
      await sendFakeRequest({ timer, url: `${url}/faults`, method: 'POST', body: fault });
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
    throw new Error(
      `${fileName} has ${parsed.error.length} problems; "galenatiller check" lists them`,
    );
  }
  return parsed.value.rules;
}

async function putHosts(layout: DeploymentLayout, timer: TimerService): Promise<void> {
  const { hostListUrl, entries, gates } = layout;
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
  const latestMs = timer.nowMs() + START_TIMEOUT_MS;
  for (const url of urls) {
    while (!(await isReady(url))) {
      if (timer.nowMs() > latestMs) {
        throw new Error(
          `${url} did not become ready within ${START_TIMEOUT_MS} ms; see the logs of the processes in .run/`,
        );
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
