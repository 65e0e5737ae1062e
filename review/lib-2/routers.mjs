// Starts routers with the command of the deploy file and settings from its template.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const ROOT = new URL('../../', import.meta.url).pathname;
const DEPLOY = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
const COMMAND = /^run = "(.*)"$/m.exec(DEPLOY)[1].split(' ');
const TEMPLATE = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(DEPLOY)[1]), 'utf8');

/** The bounds of the small deployments. */
const BOUNDS = {
  drain_ms: 2000,
  grace_s: 8,
  contact_ms: 3000,
  config_apply_ms: 2000,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 58,
  expose_share: 0.1,
  expose_slack: 50,
  rollback_ms: 5000,
  cold_over: 1.5,
  cold_slack: 5,
  evacuate_ms: 5000,
  recovery_s: 12,
};

export const folder = mkdtempSync(join(tmpdir(), 'review-'));
const children = new Set();

export async function freePort(host) {
  const server = createServer();
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Starts a router on a loopback address of its own. */
export async function startRouter({ name, host, zone, storeAddress }) {
  const [front, ready, link] = [await freePort(host), await freePort(host), await freePort(host)];
  const fields = {
    node_name: name,
    zone,
    ip: host,
    'listen.front': `${host}:${front}`,
    'listen.ready': `${host}:${ready}`,
    'internal_ports.0': link,
    'platform.address': storeAddress,
    'limits.cpu_share': 0.513,
    'limits.cores': 1,
    'limits.memory_mb': 350,
    'limits.max_fds': 4100,
    ...Object.fromEntries(Object.entries(BOUNDS).map(([key, value]) => [`bounds.${key}`, value])),
  };
  const file = join(folder, `${name}.ini`);
  writeFileSync(
    file,
    TEMPLATE.replace(/\{\{([\w.]+)\}\}/g, (_, key) => fields[key] ?? ''),
  );
  const { PATH, HOME, LANG } = process.env;
  const child = spawn(COMMAND[0], COMMAND.slice(1), {
    cwd: ROOT,
    env: { PATH, HOME, ...(LANG && { LANG }), GALENATILLER_NODE_FILE: file },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  children.add(child);
  child.once('exit', () => children.delete(child));
  const log = createWriteStream(join(folder, `${name}.log`));
  child.stdout.pipe(log, { end: false });
  child.stderr.pipe(log, { end: false });
  return { name, host, port: front, readyPort: ready, child, logFile: join(folder, `${name}.log`) };
}

/** Waits until a router says that it is ready; false if it doesn't within the time. */
export async function whenReady(router, limitMs = 15_000) {
  const until = Date.now() + limitMs;
  while (Date.now() < until) {
    if (await isReady(router)) return true;
    await sleep(50);
  }
  return false;
}

export function isReady({ host, readyPort }) {
  return new Promise((resolve) => {
    const sent = request(
      { host, port: readyPort, path: '/-/readyz', agent: false, timeout: 500 },
      (response) => {
        response.resume();
        response.once('end', () => resolve(response.statusCode === 200));
      },
    );
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => resolve(false));
    sent.end();
  });
}

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Kills what still runs and removes the temporary folder. */
export function endAll({ keepFolder = false } = {}) {
  children.forEach((child) => child.kill('SIGKILL'));
  if (!keepFolder) rmSync(folder, { recursive: true, force: true });
}
