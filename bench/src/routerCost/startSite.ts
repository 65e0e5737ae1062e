/** A site of routers as processes, with the store and the workers in this process. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { FakeLoadWorker, FakePlatformStore, findFreePorts } from '@galenatiller/fakes';
import type { TimerService } from '@galenatiller/timer';
import { request } from 'undici';

import { type ProcessCost, readProcessCost } from './processCost.js';
import { createSiteConfiguration, WORKERS } from './siteConfiguration.js';

/** A router process. */
export interface RouterProcess {
  readonly pid: number;
  /** URL at which callers connect. */
  readonly url: string;
  readonly readyUrl: string;
  /** Cost of the process until it was ready. */
  readonly startCost: ProcessCost;
  readonly child: ChildProcess;
}

/** A started site. */
export interface Site {
  readonly routers: readonly RouterProcess[];
  /** Folder with the CPU profiles of the routers, written when they end. */
  readonly folder: string;
  /** Ends the routers; the folder stays. */
  readonly stop: () => Promise<void>;
  readonly remove: () => Promise<void>;
}

/** Options of {@link startSite}. */
export interface StartSiteOptions {
  readonly timer: TimerService;
  /** Arguments of Node.js for a router: options, and the bundle. */
  readonly nodeArguments: readonly string[];
  readonly routers: number;
  readonly isProfiled: boolean;
}

const HEARTBEAT_INTERVAL_MS = 1_000;
const READY_CHECK_INTERVAL_MS = 1_000;
const POLL_MS = 10;
const MAX_START_MS = 20_000;

/** Sampling interval of the CPU profiles; shorter ones cost the router more. */
const PROFILE_INTERVAL_US = 500;

/** Starts a site and waits until each of its routers is ready. */
export async function startSite(opts: StartSiteOptions): Promise<Site> {
  const { timer } = opts;
  const folder = await mkdtemp(join(tmpdir(), 'router-cost-'));
  const store = await FakePlatformStore.listen();
  const workers = await Promise.all(WORKERS.map((worker) => FakeLoadWorker.listen(worker)));
  store.put({ key: 'op/config', value: createSiteConfiguration() });
  const putEntry = (worker: FakeLoadWorker): void =>
    store.put({ key: worker.key, value: worker.createEntry() });
  workers.forEach(putEntry);
  let turn = 0;
  const stopHeartbeats = timer.every({
    intervalMs: HEARTBEAT_INTERVAL_MS / workers.length,
    notify: () => {
      workers.slice(turn, turn + 1).forEach(putEntry);
      turn = (turn + 1) % workers.length;
    },
  });
  const routers: RouterProcess[] = [];
  for (let index = 0; index < opts.routers; index += 1) {
    routers.push(await startRouter(opts, { folder, storeAddress: store.address, index }));
  }
  const stopChecks = timer.every({
    intervalMs: READY_CHECK_INTERVAL_MS,
    notify: () => routers.forEach(({ readyUrl }) => fetchStatus(readyUrl)),
  });
  return {
    routers,
    folder,
    stop: async () => {
      stopChecks();
      await Promise.all(routers.map(stopRouter));
      stopHeartbeats();
      await Promise.all([store, ...workers].map((fake) => fake.close()));
    },
    remove: () => rm(folder, { recursive: true }),
  };
}

async function startRouter(
  opts: StartSiteOptions,
  place: { readonly folder: string; readonly storeAddress: string; readonly index: number },
): Promise<RouterProcess> {
  const { folder, storeAddress, index } = place;
  const [callers = 0, readiness = 0, link = 0, metrics = 0] = await findFreePorts(4);
  const file = join(folder, `settings-${index}.ini`);
  const settings = [
    '[node]',
    `name = router-${index}`,
    'availability-zone = zone-a',
    'stop-limit-s = 3',
    '[caller]',
    `listen = 127.0.0.1:${callers}`,
    `listen-ready = 127.0.0.1:${readiness}`,
    '[store]',
    `address = ${storeAddress}`,
    '[link]',
    `listen = 127.0.0.1:${link}`,
    '[metrics]',
    `port = ${metrics}`,
  ];
  await writeFile(file, settings.join('\n'));
  const profiling = [
    '--cpu-prof',
    `--cpu-prof-dir=${folder}`,
    `--cpu-prof-interval=${PROFILE_INTERVAL_US}`,
    `--cpu-prof-name=router-${index}.cpuprofile`,
  ];
  const args = [...(opts.isProfiled ? profiling : []), ...opts.nodeArguments];
  const child = spawn(process.execPath, args, {
    env: { GALENATILLER_NODE_FILE: file },
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  const killAtExit = (): void => {
    child.kill('SIGKILL');
  };
  process.once('exit', killAtExit);
  child.once('exit', () => process.off('exit', killAtExit));
  const readyUrl = `http://127.0.0.1:${readiness}/-/readyz`;
  const untilMs = opts.timer.nowMs() + MAX_START_MS;
  while ((await fetchStatus(readyUrl)) !== 200) {
    if (child.exitCode !== null || opts.timer.nowMs() > untilMs) {
      throw new Error(`router ${index} did not become ready`);
    }
    await opts.timer.sleep({ delayMs: POLL_MS });
  }
  const pid = child.pid ?? 0;
  const startCost = await readProcessCost(pid);
  return { pid, child, startCost, readyUrl, url: `http://127.0.0.1:${callers}` };
}

async function stopRouter({ child }: RouterProcess): Promise<void> {
  const exit = once(child, 'exit');
  child.kill('SIGTERM');
  await exit;
}

/** Status of a readiness check; 0 without an answer. */
async function fetchStatus(url: string): Promise<number> {
  try {
    const { statusCode, body } = await request(url);
    await body.dump();
    return statusCode;
  } catch {
    // The port is not open yet, or already closed.
    return 0;
  }
}
