import assert from 'node:assert/strict';

import { type DataTable, Given, Then } from '@cucumber/cucumber';
import {
  isSizeExempt,
  orderWork,
  OrganisationUsage,
  type SchedulableWork,
} from '@galenatiller/scheduling';

interface NamedWork extends SchedulableWork {
  readonly name: string;
}

interface Arrival extends SchedulableWork {
  readonly arrivesAtMs: number;
  isOnTime: boolean;
}

interface OrderWorld {
  waitingWork: readonly NamedWork[];
  arrivals: Arrival[];
  isPlayed: boolean;
}

const SLACK_MS = 500;
const MEAN_SIZE_MS = 10;
const OTHER_ORGANISATIONS = 9;

Given(
  'this waiting work, which takes 100 ms each',
  function given(this: OrderWorld, table: DataTable) {
    this.waitingWork = table.rows().map(([name = '', cells = '']) => {
      const [priority, begun, startBy, remaining, exempt] = cells.split(', ');
      return {
        name,
        priority: Number(priority),
        hasBegun: begun === 'yes',
        organisation: '',
        latestStartAtMs: Number(startBy),
        costMs: 100,
        remainingMs: Number(remaining),
        isSizeExempt: exempt === 'yes',
      };
    });
  },
);

Then('it is taken in the order {string}', function then(this: OrderWorld, order: string) {
  const { onTime, delayed } = orderWork({
    works: this.waitingWork,
    startsAtMs: 0,
    getUsedMs: () => 0,
  });
  assert.equal([...onTime, ...delayed].map(({ name }) => name).join(' '), order);
});

Given(
  'requests at {float} times the capacity for 60 s, with sizes of 1 to 19 ms',
  function given(this: OrderWorld, load: number) {
    this.arrivals = listArrivals({ load, seed: 1, priority: 0, name: 'other' });
    this.isPlayed = false;
  },
);

Given(
  'an organisation that sends {int} times the capacity besides',
  function given(this: OrderWorld, load: number) {
    this.arrivals.push(...listArrivals({ load, seed: 2, priority: 0, name: 'flood' }));
  },
);

Given(
  'less urgent requests at {float} times the capacity besides',
  function given(this: OrderWorld, load: number) {
    this.arrivals.push(...listArrivals({ load, seed: 2, priority: 1, name: 'other' }));
  },
);

Then(
  /^at least (\d+) of 100 (urgent )?requests( of the others)? are on time$/,
  function then(this: OrderWorld, percent: string, urgent?: string, others?: string) {
    const chosen = play(this).filter(
      ({ priority, organisation }) =>
        (!urgent || priority === 0) && (!others || organisation !== 'flood'),
    );
    const share = getShare(chosen);
    assert.ok(100 * share >= Number(percent), `${(100 * share).toFixed(1)} of 100 are on time`);
  },
);

Then('the largest tenth is on time at least half as often as all', function then(this: OrderWorld) {
  const arrivals = play(this);
  const largest = arrivals
    .toSorted((left, right) => right.costMs - left.costMs)
    .slice(0, arrivals.length / 10);
  checkShare(getShare(largest), getShare(arrivals) / 2);
});

Then(
  'its own requests are on time at least a quarter as often as all',
  function then(this: OrderWorld) {
    const arrivals = play(this);
    const own = arrivals.filter(({ organisation }) => organisation === 'flood');
    checkShare(getShare(own), getShare(arrivals) / 4);
  },
);

function checkShare(share: number, minShare: number): void {
  assert.ok(share >= minShare, `${share.toFixed(3)} are on time, not ${minShare.toFixed(3)}`);
}

function getShare(arrivals: readonly Arrival[]): number {
  return arrivals.filter(({ isOnTime }) => isOnTime).length / arrivals.length;
}

/** Serves the arrivals one at a time, in the order that is decided anew before each. */
function play(world: OrderWorld): readonly Arrival[] {
  const { arrivals } = world;
  if (world.isPlayed) {
    return arrivals;
  }
  world.isPlayed = true;
  const coming = arrivals.toSorted((left, right) => left.arrivesAtMs - right.arrivesAtMs);
  let waiting: Arrival[] = [];
  let nowMs = 0;
  const usage = OrganisationUsage.create();
  for (let next = 0; next < coming.length || waiting.length > 0;) {
    for (let one = coming[next]; one && one.arrivesAtMs <= nowMs; one = coming[next]) {
      waiting.push(one);
      next += 1;
    }
    const startsAtMs = nowMs;
    const { onTime, delayed } = orderWork({
      works: waiting,
      startsAtMs,
      getUsedMs: (holder) => usage.getUsedMs({ holder, nowMs: startsAtMs }),
    });
    const taken = onTime[0] ?? delayed[0];
    if (taken) {
      taken.isOnTime = nowMs <= taken.latestStartAtMs;
      usage.record({ holder: taken, costMs: taken.costMs, nowMs });
      nowMs += taken.costMs;
      // Callers do not wait for late responses for long.
      const leftAtMs = nowMs - SLACK_MS;
      waiting = waiting.filter((one) => one !== taken && one.latestStartAtMs > leftAtMs);
    } else {
      nowMs = coming[next]?.arrivesAtMs ?? nowMs;
    }
  }
  return arrivals;
}

function listArrivals(opts: {
  readonly load: number;
  readonly seed: number;
  readonly priority: number;
  readonly name: string;
}): Arrival[] {
  const random = createRandom(opts.seed);
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < 60_000;) {
    const costMs = 1 + Math.floor(random() * 19);
    const other = `other-${Math.floor(random() * OTHER_ORGANISATIONS)}`;
    arrivals.push({
      priority: opts.priority,
      hasBegun: false,
      organisation: opts.name === 'other' ? other : opts.name,
      latestStartAtMs: atMs + SLACK_MS,
      costMs,
      remainingMs: costMs,
      isSizeExempt: isSizeExempt(`${opts.seed}-${arrivals.length}`),
      arrivesAtMs: atMs,
      isOnTime: false,
    });
    atMs += (-Math.log(1 - random()) * MEAN_SIZE_MS) / opts.load;
  }
  return arrivals;
}

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}
