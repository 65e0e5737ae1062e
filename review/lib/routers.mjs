/** Starts routers with the command of the deploy file and settings made from its template. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { findFreePorts } from './listen.mjs';
import { send } from './send.mjs';

const ROOT = new URL('../../', import.meta.url).pathname;

/** Bounds on the sheet of Lautoka Prism Works, a small deployment. */
const BOUNDS = {
  grace_s: 8,
  revoke_ms: 5000,
  cold_over: 1.5,
  cold_slack: 5,
  budget_window_s: 10,
  retry_budget_ratio: 0.2,
  budget_slack: 58,
  expose_share: 0.1,
};

/** Share of a core and number of cores of a `front` machine on the sheet. */
const LIMITS = { cpu_share: 0.513, cores: 1 };

const ZONES = ['vw-a', 'vw-b', 'vw-c'];
const READY_LIMIT_MS = 20_000;
const READY_TIMEOUT_MS = 500;
const POLL_MS = 50;

/** The platform checks at this interval, and sends no new connections after so many misses. */
const READY_INTERVAL_MS = 1_000;
const MAX_MISSES = 2;

/** Addresses of this run: the port of the metrics is the same on all machines, as on the platform. */
const SUBNET = `127.${1 + (process.pid % 250)}.${Math.floor(Math.random() * 256)}`;

const folder = mkdtempSync(join(tmpdir(), 'review-'));
const children = new Set();
process.on('exit', () => {
  children.forEach((child) => child.kill('SIGKILL'));
  rmSync(folder, { recursive: true, force: true });
});

['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) => process.once(signal, () => process.exit(2)));

function render(template, fields) {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_, path) =>
    String(path.split('.').reduce((value, name) => value?.[name], fields) ?? ''),
  );
}

/** One machine with a router, on a loopback address of its own. */
class RouterMachine {
  constructor({ number, store, zone }) {
    this.name = `front-${zone}-${number}`;
    this.zone = zone;
    this.host = `${SUBNET}.${number}`;
    this.store = store;
    this.settingsFile = join(folder, `${this.name}.ini`);
    this.isInRotation = true;
  }

  async writeSettings() {
    const [front, ready, link] = await findFreePorts(this.host, 3);
    this.front = front;
    this.ready = ready;
    const template = readFileSync(join(ROOT, 'deploy/settings.ini.template'), 'utf8');
    const fields = {
      node_name: this.name,
      zone: this.zone,
      ip: this.host,
      listen: { front: `${this.host}:${front}`, ready: `${this.host}:${ready}` },
      internal_ports: [link],
      platform: { address: await this.store.open() },
      limits: LIMITS,
      bounds: BOUNDS,
    };
    writeFileSync(this.settingsFile, render(template, fields));
  }

  start() {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const log = openSync(join(folder, `${this.name}.log`), 'a');
    const { PATH, HOME } = process.env;
    const env = { PATH, HOME, GALENATILLER_NODE_FILE: this.settingsFile };
    this.child = spawn(program, args, { cwd: ROOT, env, stdio: ['ignore', log, log] });
    children.add(this.child);
    this.child.once('exit', () => children.delete(this.child));
  }

  /** Stops the router as planned, and waits until it has ended. */
  async stop() {
    const ended = once(this.child, 'exit');
    this.kill('SIGTERM');
    await ended;
  }

  kill(signal) {
    this.child.kill(signal);
  }

  async isReady() {
    const probe = { host: this.host, port: this.ready, path: '/-/readyz' };
    const { status } = await send({ ...probe, timeoutMs: READY_TIMEOUT_MS });
    return status === 200;
  }

  /** Checks each second whether the router is ready, as the platform does. */
  async followReadiness() {
    for (let misses = 0; ;) {
      await sleep(READY_INTERVAL_MS);
      misses = (await this.isReady()) ? 0 : misses + 1;
      this.isInRotation = misses < MAX_MISSES;
    }
  }

  async waitUntilReady() {
    const endMs = performance.now() + READY_LIMIT_MS;
    while (!(await this.isReady())) {
      if (performance.now() > endMs) {
        throw new Error(`${this.name} did not become ready`);
      }
      await sleep(POLL_MS);
    }
  }
}

/** Starts so many routers, in the zones of the sheet in turn, and waits until all are ready. */
export async function startRouters({ store, count }) {
  const routers = Array.from(
    { length: count },
    (_, index) =>
      new RouterMachine({ number: index + 1, store, zone: ZONES[index % ZONES.length] }),
  );
  await Promise.all(routers.map((router) => router.writeSettings()));
  routers.forEach((router) => router.start());
  await Promise.all(routers.map((router) => router.waitUntilReady()));
  routers.forEach((router) => router.followReadiness());
  return routers;
}
