import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import { type TargetView, type TrialRun, VersionMoves } from '@galenatiller/entry';
import type { StoppedVersionNotice } from '@galenatiller/node';
import type { MoveRule } from '@galenatiller/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

interface VersionsWorld {
  moves: VersionMoves;
  notices: StoppedVersionNotice[];
  nowMs: number;
  badRuns: number;
  newRuns: number;
  allRuns: number;
}

/** Returns the result of a run of the new version, given its index and route. */
type Quality = (run: { readonly index: number; readonly route: string }) => {
  readonly ending: TrialRun['ending'];
  readonly runMs: number;
  readonly bad: boolean;
};

export const MOVE: MoveRule = {
  kind: 'move',
  targetGroup: 'drafter',
  fromVersion: 'v1',
  toVersion: 'v2',
  byWallMs: 3_600_000,
  unprovenShare: 0.05,
  askedBy: 'test',
};
const ROUTES = ['draft', 'question', 'list'];
const GOOD = { ending: 'good', runMs: 10, bad: false } as const;
export const VIEWS = ['v1', 'v2'].map(createView);

When(
  /^a new version whose runs (fail|are slow) gets 5 percent of the traffic$/,
  function when(this: VersionsWorld, how: string) {
    const hasFailed = how === 'fail';
    const bad = { ending: toEnding(hasFailed), runMs: hasFailed ? 10 : 40, bad: true };
    start(this, 1);
    sendRequests(this, {
      requests: 20_000,
      stepMs: 1,
      random: createRandom(1),
      quality: () => bad,
    });
  },
);

When(
  'a new version turns bad after {int} good runs',
  function when(this: VersionsWorld, good: number) {
    start(this, 2);
    const quality: Quality = ({ index }) =>
      index < good ? GOOD : { ending: toEnding(index % 2 === 0), runMs: 10, bad: true };
    sendRequests(this, { requests: 40_000, stepMs: 50, random: createRandom(2), quality });
  },
);

When(
  'a new version is bad on one of {int} routes',
  function when(this: VersionsWorld, routes: number) {
    assert.equal(routes, ROUTES.length);
    start(this, 3);
    const quality: Quality = ({ route }) =>
      route === 'list' ? { ending: 'failed', runMs: 10, bad: true } : GOOD;
    sendRequests(this, { requests: 20_000, stepMs: 1, random: createRandom(3), quality });
  },
);

When(
  'a good version runs until {int} percent of the time has passed',
  function when(this: VersionsWorld, percent: number) {
    start(this, 4);
    const requests = 20_000;
    const stepMs = (MOVE.byWallMs * percent) / 100 / requests;
    sendRequests(this, { requests, stepMs, random: createRandom(4), quality: () => GOOD });
  },
);

When('one entry finds a version bad and notifies another', function when(this: VersionsWorld) {
  start(this, 5);
  sendRequests(this, {
    requests: 20_000,
    stepMs: 1,
    random: createRandom(5),
    quality: () => ({ ...GOOD, ending: 'failed', bad: true }),
  });
  const received = this.notices;
  start(this, 6);
  assert.deepEqual(this.moves.merge(received), received);
  assert.deepEqual(this.moves.merge(received), []);
});

Then(
  'it is stopped after at most {int} bad runs, and it got at most {int} percent of the traffic',
  function then(this: VersionsWorld, runs: number, percent: number) {
    assert.equal(this.notices.length, 1);
    assert.ok(this.badRuns <= runs, `${this.badRuns} bad runs`);
    assert.ok(this.newRuns / this.allRuns <= percent / 100);
  },
);

Then(
  'it is stopped after at most {int} bad runs',
  function then(this: VersionsWorld, runs: number) {
    assert.equal(this.notices.length, 1);
    assert.ok(this.badRuns <= runs, `${this.badRuns} bad runs`);
  },
);

Then('it gets no traffic after it was stopped', function then(this: VersionsWorld) {
  assertNoTraffic(this.moves);
});

Then('the other sends it no traffic', function then(this: VersionsWorld) {
  assertNoTraffic(this.moves);
});

Then('its share is {int} percent', function then(this: VersionsWorld, percent: number) {
  const progress = ROUTES.map((route) => this.moves.getProgress(MOVE, route));
  assert.deepEqual(
    progress.map(({ state, share }) => [state, share]),
    ROUTES.map(() => ['done', percent / 100]),
  );
});

Then(
  'in {int} seeded runs of {int} requests no version with {int} percent of failures is stopped',
  function then(this: VersionsWorld, runs: number, requests: number, percent: number) {
    for (let seed = 100; seed < 100 + runs; seed += 1) {
      const random = createRandom(seed);
      start(this, seed);
      const quality: Quality = () => ({ ...GOOD, ending: toEnding(random() < percent / 100) });
      sendRequests(this, { requests, stepMs: 200, random, quality });
      assert.deepEqual(this.notices, [], `seed ${seed}`);
    }
  },
);

Then(
  'in {int} seeded runs of {int} requests no version is stopped when {int} percent of all callers leave',
  function then(this: VersionsWorld, runs: number, requests: number, percent: number) {
    for (let seed = 300; seed < 300 + runs; seed += 1) {
      const random = createRandom(seed);
      start(this, seed);
      const quality: Quality = () => ({
        ...GOOD,
        ending: random() < percent / 100 ? 'lost' : 'good',
      });
      sendRequests(this, { requests, stepMs: 200, random, quality, old: quality });
      assert.deepEqual(this.notices, [], `seed ${seed}`);
    }
  },
);

function toEnding(hasFailed: boolean): TrialRun['ending'] {
  return hasFailed ? 'failed' : 'good';
}

function start(world: VersionsWorld, seed: number): void {
  world.notices = [];
  world.nowMs = 0;
  world.badRuns = 0;
  world.newRuns = 0;
  world.allRuns = 0;
  world.moves = VersionMoves.create({
    wallMs: () => world.nowMs,
    random: createRandom(seed + 1_000),
    broadcast: (notices) => world.notices.push(...notices),
  });
}

interface SendRequestsOptions {
  readonly requests: number;
  readonly stepMs: number;
  readonly random: () => number;
  readonly quality: Quality;
  /** Quality of the old version; good if omitted. */
  readonly old?: Quality;
}

/** Sends requests on random routes until all are sent or the version is stopped. */
function sendRequests(world: VersionsWorld, opts: SendRequestsOptions): void {
  for (let index = 0; index < opts.requests && world.notices.length === 0; index += 1) {
    world.nowMs += opts.stepMs;
    const route = ROUTES[Math.floor(opts.random() * ROUTES.length)] ?? '';
    const targetVersion = world.moves.selectTargets(MOVE, route, VIEWS)[0]?.report.version ?? '';
    const isNew = targetVersion === 'v2';
    const quality = isNew ? opts.quality : (opts.old ?? (() => GOOD));
    const { bad, ...run } = quality({ index: world.newRuns, route });
    world.allRuns += 1;
    world.newRuns += isNew ? 1 : 0;
    world.badRuns += bad ? 1 : 0;
    world.moves.observe({ move: MOVE, route, targetVersion, ...run });
  }
}

function assertNoTraffic(moves: VersionMoves): void {
  const versions = Array.from(
    { length: 1_000 },
    () => moves.selectTargets(MOVE, 'draft', VIEWS)[0],
  );
  assert.deepEqual(new Set(versions.map((view) => view?.report.version)), new Set(['v1']));
}

export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

export function createView(version: string): TargetView {
  return {
    report: {
      name: `engine-${version}`,
      kind: 'engine',
      group: 'drafter',
      version,
      state: 'ready',
      inFlight: 0,
      queued: 0,
      inFlightLimit: 8,
      runMs: 10,
      prefixHashes: [],
    },
    gateName: 'gate-1',
    availabilityZone: 'north-a',
    reportAgeMs: 0,
    ownInFlight: 0,
    sentSinceReport: 0,
    isAcceptingWork: true,
  };
}
