/**
 * A stand-in for workers (PROTOCOL.md), as a process of its own, so that a signal crashes it. Its argument is JSON:
 * `store`, and `workers` with `id`, `address`, `service`, `zone`, `slots`, `kind`. It prints one JSON line
 * for each request that it begins to run.
 */
import { createServer, request } from 'node:http';

const { store, workers } = JSON.parse(process.argv[2]);
const HEARTBEAT_MS = 1_200;
const bornMs = Date.now();

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
    cold_left_ms: 0,
    sequence,
    born: bornMs,
  };
  const sent = request({ host, port, path: '/stand-in/beat', method: 'POST', agent: false });
  sent.on('error', () => {});
  sent.on('response', (response) => response.resume());
  sent.end(JSON.stringify({ id, entry }));
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
      response.writeHead(200, { 'X-Instance-Id': worker.id, 'Content-Length': '0' }).end();
      return;
    }
    if (requestId === '') {
      response.writeHead(400, { 'X-Not-Executed': '1' }).end();
      return;
    }
    const path = incoming.url;
    const text = Buffer.concat(chunks).toString('utf8');
    say({ event: 'begins', worker: worker.id, requestId, path });
    const head = { ...echoed, 'X-Server-Seal': `${worker.id}.${requestId}` };
    KINDS[worker.kind](worker, { response, head, path, text, isGone: () => isGone });
  });
  incoming.on('error', () => {});
}

workers.forEach((worker) => {
  const [host, port] = worker.address.split(':');
  const server = createServer((incoming, response) => serve(worker, incoming, response));
  server.keepAliveTimeout = 5_000;
  server.listen(Number(port), host, () => {
    let sequence = 0;
    const next = () => {
      sequence += 1;
      beat(worker, sequence);
    };
    next();
    setInterval(next, HEARTBEAT_MS);
  });
});
