/** What the scripts of this review share: processes, the record, clients, and the end of a run. */
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { readCommand, renderSettings } from './settings.mjs';
import { Store } from './store.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const MAX_RUN_MS = 115_000;
const READY_MS = 15_000;

/** Whether the run has the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

export const sleep = (delayMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/** One run of a case: its record, its processes and its store. */
export class Run {
  lines = [];

  children = new Set();

  folder = mkdtempSync(join(tmpdir(), 'review-'));

  startedAtMs = Date.now();

  host = `127.${100 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 250)}`;

  constructor(recordFile) {
    this.recordFile = recordFile;
  }

  /** Runs a case; `main` returns whether the rule held. */
  static async start(caseUrl, main) {
    const run = new Run(fileURLToPath(new URL('record.txt', caseUrl)));
    let code = 2;
    ['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) => process.once(signal, () => run.end(2)));
    const limit = setTimeout(() => {
      run.note('the run took too long');
      run.end(2);
    }, MAX_RUN_MS);
    try {
      run.store = await Store.listen();
      run.note(`disruption ${hasTrouble ? 'on' : 'off'}`);
      code = (await main(run)) ? 0 : 1;
      run.note(code === 0 ? 'the rule held' : 'the rule was broken');
    } catch (error) {
      run.note(`could not run: ${error?.stack ?? error}`);
    }
    clearTimeout(limit);
    run.end(code);
  }

  note(text) {
    const atS = ((Date.now() - this.startedAtMs) / 1_000).toFixed(3).padStart(8);
    this.lines.push(`${atS} s  ${text}`);
  }

  end(code) {
    this.children.forEach((child) => child.kill('SIGKILL'));
    this.store?.close();
    writeFileSync(this.recordFile, `${this.lines.join('\n')}\n`);
    rmSync(this.folder, { recursive: true, force: true });
    process.exit(code);
  }

  /** Starts a process and forwards its lines. */
  spawn(name, command, { env = {}, onLine = () => {}, args = [] } = {}) {
    const [program, ...words] = command;
    const child = spawn(program === 'node' ? process.execPath : program, [...words, ...args], {
      cwd: ROOT,
      env: { PATH: process.env.PATH, ...env },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.children.add(child);
    child.once('exit', (code, signal) => {
      this.children.delete(child);
      this.note(`process ${name} ended: ${signal ?? code}`);
    });
    let rest = '';
    child.stdout.on('data', (bytes) => {
      const lines = `${rest}${bytes}`.split('\n');
      rest = lines.pop() ?? '';
      lines.forEach(onLine);
    });
    child.stderr.on('data', (bytes) => this.note(`${name}: ${String(bytes).trim()}`));
    return child;
  }

  /** Starts a router with the command of the deploy file. */
  startRouter(router) {
    const { name, onLine = () => {} } = router;
    const file = join(this.folder, `${name}.ini`);
    writeFileSync(file, renderSettings({ storeAddress: this.store.address, ...router }));
    const env = { GALENATILLER_NODE_FILE: file };
    return this.spawn(name, readCommand(), { env, onLine });
  }

  /** Free ports for the router with a number, at an address of its own. */
  async planRouter(number, zone) {
    const ip = `${this.host}.${number}`;
    const [front, ready, link] = await findFreePorts(ip, 3);
    return { name: `front-${zone}-${number}`, zone, ip, ports: { front, ready, link } };
  }

  /** Plans routers in zones. */
  planRouters(zones) {
    return Promise.all(zones.map((zone, index) => this.planRouter(index + 1, zone)));
  }

  /** Starts routers, and waits until each says that it is ready; returns their processes. */
  async startRouters(routers) {
    const processes = routers.map((router) => this.startRouter(router));
    await Promise.all(routers.map(whenReady));
    return processes;
  }

  /** Starts a process with stand-ins for workers, which tells what they do. */
  startWorkers(workers, onSaid) {
    return this.spawn(workers.map(({ id }) => id).join(), ['node', 'review/lib-3/worker.mjs'], {
      args: [JSON.stringify({ store: this.store.address, workers })],
      onLine: (line) => onSaid(JSON.parse(line)),
    });
  }
}

/** Waits until a router says that it is ready. */
async function whenReady({ name, ip, ports }) {
  const untilMs = Date.now() + READY_MS;
  for (;;) {
    const { status } = await send({ host: ip, port: ports.ready, path: '/-/readyz' });
    if (status === 200) {
      return;
    }
    if (Date.now() > untilMs) {
      throw new Error(`${name} is not ready`);
    }
    await sleep(50);
  }
}

/** Ports that are free at an address. */
export async function findFreePorts(host, count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve, reject) => {
          const server = createServer();
          server.once('error', reject);
          server.listen(0, host, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

/** Sends a request as a client does; status 0 if there is no answer, `text` is what came of the body. */
export function send({ host, port, path, method = 'GET', headers = {}, body, limitMs = 2_000 }) {
  return new Promise((resolve) => {
    const result = { status: 0, headers: {}, text: '', isWhole: false };
    const sent = request({ host, port, path, method, headers, agent: false }, (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.setEncoding('utf8');
      response.on('data', (text) => {
        result.text += text;
      });
      response.on('error', () => {});
      response.once('end', () => {
        result.isWhole = response.complete;
      });
      response.once('close', finish);
    });
    const timer = setTimeout(() => sent.destroy(), limitMs);
    function finish() {
      clearTimeout(timer);
      resolve(result);
    }
    sent.once('error', finish);
    sent.end(body);
  });
}

/** The limits of the operator for what clients may send. */
export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 5_000,
  idle_timeout_ms: 5_000,
};
