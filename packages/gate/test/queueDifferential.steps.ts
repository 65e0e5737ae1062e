import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';

import { deadlineQueuePolicy } from '../src/deadlineQueuePolicy.js';
import { naiveQueuePolicy } from '../src/naiveQueuePolicy.js';
import { type Arrival, type ArrivalEnd, runTarget } from './runTarget.js';

interface DifferentialWorld {
  arrivals: Arrival[];
}

const SEEDS = [1, 2, 3];
const LOAD_DURATION_MS = 20_000;
const RUN_MS = 100;
const DEADLINE_MS = 500;
const BATCH_DEADLINE_MS = 5_000;
/** Each seed gets its own period of time, so that one list holds the loads of all seeds. */
const SEED_PERIOD_MS = 10 * LOAD_DURATION_MS;
const POLICIES = new Map([
  ['deadline', deadlineQueuePolicy],
  ['naive', naiveQueuePolicy],
]);

Given(
  'a load of {string} requests a second with run times that vary by {int} percent',
  function given(this: DifferentialWorld, load: string, percent: number) {
    this.arrivals = SEEDS.flatMap((seed) => {
      const random = createRandom(seed);
      return load.split(', ').flatMap((part) => {
        const [organisation = '', perSecond] = part.split(' ');
        return listTimes(Number(perSecond), random).map((offsetMs) =>
          createArrival({
            organisation,
            atMs: seed * SEED_PERIOD_MS + offsetMs,
            runMs: RUN_MS * (1 + (percent / 100) * (2 * random() - 1)),
          }),
        );
      });
    });
  },
);

Given(
  'runs that take {int} times as long from {int} s to {int} s',
  function given(this: DifferentialWorld, times: number, fromS: number, toS: number) {
    this.arrivals = this.arrivals.map((arrival) => {
      const offsetMs = arrival.atMs % SEED_PERIOD_MS;
      const isSlow = offsetMs >= fromS * 1_000 && offsetMs < toS * 1_000;
      return isSlow ? { ...arrival, runMs: arrival.runMs * times } : arrival;
    });
  },
);

Then(
  /^with the (deadline|naive) policy at (least|most) (\d+) percent of "(.*)" are answered in time$/,
  function then(
    this: DifferentialWorld,
    policy: string,
    side: string,
    percent: string,
    organisation: string,
  ) {
    const ends = [...runWith(policy, this.arrivals)]
      .filter(([arrival]) => arrival.organisation === organisation)
      .map(([, end]) => end);
    checkShare({ ends, end: 'in-time', side, percent: Number(percent) });
  },
);

Then(
  /^with the (deadline|naive) policy at (least|most) (\d+) percent are cut off at their deadline$/,
  function then(this: DifferentialWorld, policy: string, side: string, percent: string) {
    const ends = [...runWith(policy, this.arrivals).values()];
    checkShare({ ends, end: 'late', side, percent: Number(percent) });
  },
);

Then(
  'with the deadline policy all that arrive after {int} s are answered in time',
  function then(this: DifferentialWorld, fromS: number) {
    const ends = [...runWith('deadline', this.arrivals)]
      .filter(([arrival]) => arrival.atMs % SEED_PERIOD_MS >= fromS * 1_000)
      .map(([, end]) => end);
    checkShare({ ends, end: 'in-time', side: 'least', percent: 100 });
  },
);

function runWith(policyName: string, arrivals: Arrival[]): ReadonlyMap<Arrival, ArrivalEnd> {
  const policy = POLICIES.get(policyName) ?? naiveQueuePolicy;
  return runTarget({ policy, arrivals, inFlightLimit: 4, queueLimit: 64 });
}

interface CheckShareOptions {
  readonly ends: readonly ArrivalEnd[];
  readonly end: ArrivalEnd;
  readonly side: string;
  readonly percent: number;
}

function checkShare(opts: CheckShareOptions): void {
  const share = opts.ends.filter((end) => end === opts.end).length / opts.ends.length;
  const found = share * 100;
  const holds = opts.side === 'least' ? found >= opts.percent : found <= opts.percent;
  assert.ok(holds, `${found.toFixed(2)} percent of ${opts.ends.length} are ${opts.end}`);
}

function createArrival(opts: Pick<Arrival, 'organisation' | 'atMs' | 'runMs'>): Arrival {
  const isBatch = opts.organisation === 'batch';
  return {
    ...opts,
    priority: isBatch ? 'batch' : 'interactive',
    deadlineAtMs: opts.atMs + (isBatch ? BATCH_DEADLINE_MS : DEADLINE_MS),
  };
}

/** Lists the arrival times of a Poisson process. */
function listTimes(perSecond: number, random: () => number): number[] {
  const times: number[] = [];
  for (
    let atMs = 0;
    atMs < LOAD_DURATION_MS;
    atMs -= (Math.log(1 - random()) * 1_000) / perSecond
  ) {
    times.push(atMs);
  }
  return times;
}

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}
