/**
 * A deployment like rekvi-net: 3 routers and the 3 workers of the booking desk, one of which fails a part of the
 * bookings after it has run them, with status 503 and without X-Not-Executed. The client repeats a booking once
 * after a promise that it has not run.
 */
import { findFreePorts, hasTrouble, LIMITS, Run, send, sleep } from '../lib-3/run.mjs';

const ZONES = ['ost-a', 'ost-b', 'ost-c'];
const BOOKINGS = 60;
const GAP_MS = 100;
const FAIL_SHARE = 0.45;
const FAIL_STATUS = 503;
const PROMISES = [408, 421, 429, 503];
const KEY = 'key-of-the-desk';

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'booking-skriv',
      host: 'desk.example',
      prefix: '/booking/',
      service: 'udlaan-app',
      kind: 'non_idempotent',
      timeout_ms: 800,
      target_latency_ms: 193,
      max_attempts: 1,
      priority: 2,
    },
  ],
  services: [{ name: 'udlaan-app', health_path: '/healthz', max_connections: 51 }],
  tenants: [{ name: 'desk', api_keys: [KEY] }],
  limits: LIMITS,
};

function createWorkers(run, ports) {
  return ZONES.map((zone, index) => ({
    id: `i-${index + 1}`,
    kind: 'application',
    service: 'udlaan-app',
    zone,
    address: `${run.host}.200:${ports[index]}`,
    slots: 6,
    failStatus: FAIL_STATUS,
    failShare: hasTrouble && index === 0 ? FAIL_SHARE : 0,
  }));
}

/** Sends one attempt of a booking. */
function sendBooking(router, booking, requestId) {
  return send({
    host: router.ip,
    port: router.ports.front,
    path: `/booking/${booking}`,
    method: 'POST',
    headers: {
      Host: 'desk.example',
      'X-Request-Id': requestId,
      'X-Timeout-Ms': '1000',
      Authorization: `Bearer ${KEY}`,
    },
    body: `one chandelier, booking ${booking}`,
  });
}

/** Sends a booking, and once more after a promise; returns the answers. */
async function book(routers, booking) {
  const answers = [];
  for (let attempt = 1; attempt <= 2; attempt += 1) {
    const requestId = `booking-${booking}-${attempt}`;
    const router = routers[(booking + attempt) % routers.length];
    const { status, headers } = await sendBooking(router, booking, requestId);
    answers.push({ requestId, status, seal: headers['x-server-seal'] ?? 'none' });
    if (!PROMISES.includes(status)) {
      break;
    }
  }
  return answers;
}

/** Notes each answer beside what the workers did, and returns how many promises were false. */
function judge(run, answers, ran) {
  answers.forEach(({ requestId, status, seal }) => {
    const said = ran.get(requestId);
    const work = said ? `${said.worker} ran it and answered ${said.status}` : 'no worker ran it';
    run.note(`${requestId} is answered ${status}, seal ${seal}; ${work}`);
  });
  const broken = answers.filter(
    ({ requestId, status }) => PROMISES.includes(status) && ran.has(requestId),
  );
  const twice = Array.from({ length: BOOKINGS }, (_, index) => `booking-${index + 1}`).filter(
    (booking) => ran.has(`${booking}-1`) && ran.has(`${booking}-2`),
  );
  run.note(`${broken.length} of ${answers.length} requests have run and were answered 503`);
  run.note(`${twice.length} of ${BOOKINGS} bookings were entered twice`);
  return broken.length;
}

await Run.start(import.meta.url, async (run) => {
  run.store.put('op/config', CONFIGURATION);
  const ran = new Map();
  const ports = await findFreePorts(`${run.host}.200`, ZONES.length);
  run.startWorkers(createWorkers(run, ports), (said) => {
    if (said.event === 'ran') {
      ran.set(said.requestId, said);
    }
  });
  const routers = await run.planRouters(ZONES);
  await run.startRouters(routers);
  await sleep(4_000);

  const bookings = [];
  for (let booking = 1; booking <= BOOKINGS; booking += 1) {
    bookings.push(book(routers, booking));
    await sleep(GAP_MS);
  }
  const answers = (await Promise.all(bookings)).flat();
  await sleep(300);
  return judge(run, answers, ran) === 0;
});
