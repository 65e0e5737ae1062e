// A new version adds a route whose first stage needs the results of the second one.
import { isTroubled, runCase } from '../lib-2/case.mjs';
import { sleep } from '../lib-2/routers.mjs';
import { newId } from '../lib-2/send.mjs';
import {
  ask,
  createConfiguration,
  createRoute,
  createService,
  MODEL_SERVICE,
  startSystem,
} from '../lib-2/system.mjs';
import { stream } from '../lib-2/worker.mjs';

const REQUESTS = 40;
/** The results of `metro` are the inputs of `ship`, whose results the model worker reads; as numbered in order or not. */
const METRO = { service: 'metro', bytes: 8_000 };
const SHIP = { service: 'ship', bytes: 60_000 };
const STAGES = isTroubled
  ? [
      { ...SHIP, after: [1] },
      { ...METRO, after: [] },
    ]
  : [
      { ...METRO, after: [] },
      { ...SHIP, after: [0] },
    ];
const PIECES = STAGES.map(({ service }) => (service === 'metro' ? 2 : 3));
const LAST_STAGE = isTroubled ? 0 : 1;
const BATCHES = {
  cold_s: 0,
  cold_per_s: 0,
  pieces: {
    slots: 1,
    queue: 2,
    batch: 7,
    call_ms: 20,
    item_ms: 2,
    room_mb: 15.75,
    handle_s: 4,
    link_mbps: 10_000,
  },
};

/** What each handle is the result of. */
const results = new Map();
/** Ids of the requests of which something was given wrong inputs, one for each time. */
const faults = [];

const describe = (handles) =>
  handles
    .map((handle) => results.get(handle))
    .map((made) => `stage ${made?.stage} piece ${made?.piece}`)
    .sort()
    .join(', ');

const expect = (stages) =>
  stages
    .flatMap((stage) =>
      Array.from({ length: PIECES[stage] }, (_, piece) => `stage ${stage} piece ${piece}`),
    )
    .sort()
    .join(', ');

function check({ id, what, inputs, stages }, note) {
  if (describe(inputs) !== expect(stages)) {
    faults.push(id);
    note(`${id}: ${what} is given "${describe(inputs)}" where it needs "${expect(stages)}"`);
  }
}

async function runPieces({ worker, response, body }, note) {
  const { items = [] } = JSON.parse(body);
  items.forEach(({ id, stage, piece, inputs = [] }) => {
    const what = `stage ${stage} piece ${piece}`;
    check({ id, what, inputs, stages: STAGES[stage].after }, note);
  });
  await sleep(20 + 2 * items.length);
  const made = items.map(({ stage, piece }) => {
    const handle = `${worker.address}/${newId()}`;
    results.set(handle, { stage, piece });
    return { handle };
  });
  response.writeHead(200, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify({ items: made }));
}

async function run(call, note) {
  const { worker, request, id } = call;
  if (worker.service !== MODEL_SERVICE) {
    await runPieces(call, note);
    return;
  }
  const inputs = (request.headers['x-inputs'] ?? '').split(',').filter((handle) => handle !== '');
  check({ id, what: 'the model worker', inputs, stages: [LAST_STAGE] }, note);
  await stream({ ...call, prefillMs: 10, events: 2, eventMs: 10 });
}

const configure = (version, routes) =>
  createConfiguration({
    version,
    routes,
    services: [
      createService(MODEL_SERVICE),
      createService('metro', BATCHES),
      createService('ship', BATCHES),
    ],
  });

async function askAll({ routers }) {
  const ends = [];
  for (let count = 0; count < REQUESTS; count += 1) {
    const id = newId();
    const pieceKey = newId().slice(0, 12);
    const headers = { 'X-Pieces': PIECES.join(','), 'X-Piece-Key': pieceKey };
    const prompt = `aa:50,${id.slice(0, 8)}:50`;
    ends.push(
      ask({ router: routers[count % 2], id, prompt, tokens: '100,4', path: '/new/2f', headers }),
    );
    await sleep(100);
  }
  return Promise.all(ends);
}

runCase(import.meta.url, async ({ note }) => {
  const before = createRoute();
  const system = await startSystem({
    configuration: configure(7, [before]),
    services: [MODEL_SERVICE, MODEL_SERVICE, 'metro', 'ship'],
    onRequest: (call) => run(call, note),
    routers: 2,
    settleMs: 2_000,
  });
  const added = createRoute({ name: 'r-new', prefix: '/new/', stages: STAGES });
  system.store.put('op/config', configure(9, [before, added]));
  note(`version 9 adds a route with the stages ${JSON.stringify(STAGES)}`);
  await sleep(2_500);
  const ends = await askAll(system);
  system.end();
  const served = ends.filter(({ status, outcome }) => status === 200 && outcome === 'whole').length;
  if (served === 0) {
    throw new Error('no request was served');
  }
  return {
    broken: faults.length > 0,
    text: `${faults.length} times a piece or a request was given wrong inputs, for ${new Set(faults).size} requests; ${served} of ${REQUESTS} ended with 200`,
  };
});
