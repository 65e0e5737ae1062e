/**
 * A stand-in for workers (PROTOCOL.md), as a process of its own, so that a signal crashes it. Its argument is JSON:
 * `store`, and `workers` with `id`, `address`, `service`, `zone`, `slots`, `kind`. It prints one JSON line
 * for each request that it begins to run. SIGUSR2 makes all its workers cold for `coldMs`.
 */
import { createServer, request } from 'node:http';

const { store, workers } = JSON.parse(process.argv[2]);
const HEARTBEAT_MS = 1_200;
const bornMs = Date.now();
const parentId = process.ppid;
let coldUntilMs = 0;

const sleep = (delayMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

function say(line) {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function beat(worker, sequence) {
  const [host, port] = store.split(':');
  const { id, address, service, zone, slots } = worker;
  const entry = {
    service,
    address,
    zone,
    version: 'v1',
    slots,
    state: 'ready',
    cold_left_ms: Math.max(0, coldUntilMs - Date.now()),
    sequence,
    born: bornMs,
  };
  const sent = request({ host, port, path: '/stand-in/beat', method: 'POST', agent: false });
  sent.on('error', () => {});
  sent.on('response', (response) => response.resume());
  sent.end(JSON.stringify({ id, entry }));
}

/** Runs one call of pieces at a time; a few more wait. */
class StageRunner {
  load = 0;

  made = 0;

  turn = Promise.resolve();

  constructor(worker) {
    this.worker = worker;
  }

  /** Status and body of the answer to a call of pieces. */
  async run({ items }) {
    const { address, queue = 2, callMs = 200, itemMs = 5 } = this.worker;
    if (this.load > queue) {
      return [503, {}];
    }
    this.load += 1;
    const before = this.turn;
    this.turn = before.then(() => sleep(callMs + itemMs * items.length));
    await this.turn;
    this.load -= 1;
    const handles = items.map(() => {
      this.made += 1;
      return { handle: `${address}/r${this.made}` };
    });
    return [200, { items: handles }];
  }
}

const stages = new Map();

async function serveStage(worker, { path, text, response }) {
  if (path === '/-/stage-free') {
    response.writeHead(200, { 'Content-Type': 'application/json' }).end('{}');
    return;
  }
  const runner = stages.get(worker.id) ?? new StageRunner(worker);
  stages.set(worker.id, runner);
  const [status, body] = await runner.run(JSON.parse(text));
  const notRun = status === 503 ? { 'X-Not-Executed': '1' } : {};
  response.writeHead(status, { 'Content-Type': 'application/json', ...notRun });
  response.end(JSON.stringify(body));
}

/** How each kind of worker runs a request that it has accepted. */
const KINDS = {
  /** A model worker: reads the prompt for a while, then streams events. */
  async engine(worker, { response, head, isGone }) {
    await sleep(worker.prefillMs ?? 400);
    if (isGone()) {
      return;
    }
    response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
    for (let event = 1; event <= (worker.events ?? 10) && !isGone(); event += 1) {
      response.write(`id: ${event}\ndata: ${worker.id} ${event}\n\n`);
      await sleep(worker.gapMs ?? 40);
    }
    response.end();
  },
  /** An application: runs the request, and fails a share of what it has run. */
  async application(worker, { response, head, path }) {
    await sleep(worker.workMs ?? 30);
    const isFailed = Math.random() < (worker.failShare ?? 0);
    const status = isFailed ? worker.failStatus : 200;
    say({ event: 'ran', worker: worker.id, requestId: head['X-Request-Id'], path, status });
    response.writeHead(status, head);
    response.end(isFailed ? 'the order was entered, but the printer did not answer' : 'done');
  },
  /** An application whose answers have no length and end with their connection; they leave in two parts. */
  async unframed(worker, { response, head }) {
    await sleep(worker.workMs ?? 30);
    response.removeHeader('Transfer-Encoding');
    response.shouldKeepAlive = false;
    response.writeHead(200, head);
    response.write(worker.parts[0]);
    say({ event: 'half', worker: worker.id, requestId: head['X-Request-Id'] });
    await sleep(worker.pauseMs);
    response.end(worker.parts[1]);
  },
  /** An application whose process crashes when it begins to run a request with a certain body. */
  async fragile(worker, { response, head, path, text }) {
    if (text.includes(worker.crashOn)) {
      say({ event: 'crashed', worker: worker.id, requestId: head['X-Request-Id'], path });
      // Lets the line out before the process ends.
      process.stdout.write('', () => process.kill(process.pid, 'SIGKILL'));
      return;
    }
    await sleep(worker.workMs ?? 30);
    response.writeHead(200, head);
    response.end('done');
  },
};

function serve(worker, incoming, response) {
  const chunks = [];
  let isGone = false;
  response.once('close', () => {
    isGone = true;
  });
  incoming.on('data', (chunk) => chunks.push(chunk));
  incoming.once('end', () => {
    const header = (name) => incoming.headers[name] ?? '';
    const requestId = header('x-request-id');
    const echoed = requestId === '' ? {} : { 'X-Request-Id': requestId };
    if (header('x-expect-instance') !== '' && header('x-expect-instance') !== worker.id) {
      response.writeHead(421, { ...echoed, 'X-Not-Executed': '1' }).end();
      return;
    }
    if (incoming.url === '/healthz' || incoming.url === '/-/report') {
      const coldMs = String(Math.max(0, coldUntilMs - Date.now()));
      const state = { 'X-Instance-Id': worker.id, 'X-Cold-Ms': coldMs, 'Content-Length': '0' };
      response.writeHead(200, state).end();
      return;
    }
    const text = Buffer.concat(chunks).toString('utf8');
    if (worker.kind === 'stage') {
      serveStage(worker, { path: incoming.url, text, response });
      return;
    }
    if (requestId === '') {
      response.writeHead(400, { 'X-Not-Executed': '1' }).end();
      return;
    }
    const path = incoming.url;
    say({ event: 'begins', worker: worker.id, requestId, path, atMs: Date.now() });
    const head = { ...echoed, 'X-Server-Seal': `${worker.id}.${requestId}` };
    KINDS[worker.kind](worker, { response, head, path, text, isGone: () => isGone });
  });
  incoming.on('error', () => {});
}

workers.forEach((worker) => {
  const server = createServer((incoming, response) => serve(worker, incoming, response));
  server.keepAliveTimeout = 5_000;
  // Behind a proxy, the address that others know is not the one that the worker listens at.
  const [ownHost, ownPort] = (worker.listen ?? worker.address).split(':');
  server.listen(Number(ownPort), ownHost, () => {
    let sequence = 0;
    const next = () => {
      sequence += 1;
      beat(worker, sequence);
    };
    next();
    setInterval(next, HEARTBEAT_MS);
    process.on('SIGUSR2', () => {
      coldUntilMs = Date.now() + (worker.coldMs ?? 0);
      next();
    });
  });
});

// Ends with the script that started it, also where that was killed.
setInterval(() => {
  if (process.ppid !== parentId) {
    process.exit();
  }
}, HEARTBEAT_MS);
