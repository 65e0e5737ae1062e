import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';
import fc from 'fast-check';

import { DutyFleet } from './dutyFleet.js';
import type { FakeRouter } from './fakeRouter.js';
import type { StoreCaller, StoreCopy } from './fakeStore.js';

type Step =
  | { readonly kind: keyof typeof ON_ROUTER; readonly name: string }
  | { readonly kind: 'writes'; readonly name: string; readonly writes: StoreCaller['writes'] }
  | { readonly kind: 'wall'; readonly name: string; readonly offsetMs: number }
  | { readonly kind: 'start'; readonly name: string }
  | { readonly kind: 'copy' }
  | { readonly kind: 'restore' }
  | { readonly kind: 'pass'; readonly byMs: number };

/** What happens to a router that runs or is paused. */
const ON_ROUTER = {
  kill: (router: FakeRouter) => router.kill(),
  leave: (router: FakeRouter) => {
    if (!router.isPaused) {
      router.leave().catch(assert.ifError);
    }
  },
  pause: (router: FakeRouter) => router.pause(),
  wake: (router: FakeRouter) => router.wakeUp(),
  'wake-suspended': (router: FakeRouter) => router.wakeUp({ wasSuspended: true }),
  cut: (router: FakeRouter) => {
    router.isCut = true;
  },
  reach: (router: FakeRouter) => {
    router.isCut = false;
  },
  refuse: ({ duty }: FakeRouter) => duty.onRefused(duty.current()?.token ?? 0),
  renew: ({ duty }: FakeRouter) => {
    duty.renewToken({ signal: new AbortController().signal }).catch(assert.ifError);
  },
} as const;

const PROPERTY = { seed: 20261206, numRuns: 40 };
const NAMES = ['a', 'b', 'c'];
const RECOVERY_MS = 15_000;

/** Time from the stop of a router to the end of its process. */
const LEAVE_MS = 300;

const anyName = fc.constantFrom(...NAMES);
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('pass' as const),
      byMs: fc.constantFrom(20, 100, 400, 1_000, 2_500, 3_500, 7_000),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constantFrom(...(Object.keys(ON_ROUTER) as (keyof typeof ON_ROUTER)[])),
      name: anyName,
    }),
  },
  fc.record({ kind: fc.constant('start' as const), name: anyName }),
  fc.record({
    kind: fc.constant('writes' as const),
    name: anyName,
    writes: fc.constantFrom('answered' as const, 'answer-lost' as const, 'executed-late' as const),
  }),
  fc.record({
    kind: fc.constant('wall' as const),
    name: anyName,
    offsetMs: fc.constantFrom(-3_600_000, -500, 0, 500, 3_600_000),
  }),
  fc.constantFrom<Step>({ kind: 'copy' }, { kind: 'restore' }, { kind: 'restore' }),
);

Given('three routers that share a duty, and any failures in any order', () => {});

Then(
  'no two of them have the same token, tokens only grow, and none acts again soon after it was succeeded',
  { timeout: 120_000 },
  async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(anyStep, { minLength: 5, maxLength: 30 }), async (steps) => {
        const fleet = await run(steps);
        fleet.end();
        assert.equal(fleet.findViolation(), undefined);
      }),
      PROPERTY,
    );
  },
);

Then('when all failures have ended, one of them holds the duty', { timeout: 120_000 }, async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(anyStep, { minLength: 5, maxLength: 30 }), async (steps) => {
      const fleet = await run(steps);
      fleet.routers.forEach((router) => {
        router.isCut = false;
        router.writes = 'answered';
      });
      NAMES.forEach((name) => fleet.start(name));
      await fleet.advance(RECOVERY_MS);
      const holders = fleet.holders();
      fleet.end();
      assert.equal(holders.length, 1);
    }),
    { ...PROPERTY, numRuns: PROPERTY.numRuns / 2 },
  );
});

/** Runs the steps on three routers; a step that the state of its router rules out does nothing. */
async function run(steps: readonly Step[]): Promise<DutyFleet> {
  const fleet = DutyFleet.create();
  NAMES.forEach((name) => fleet.start(name));
  await fleet.advance(1_000);
  const killed = new Set<string>();
  const copies: StoreCopy[] = [];
  for (const step of steps) {
    await perform({ fleet, killed, copies }, step);
    fleet.look();
  }
  return fleet;
}

interface PerformOptions {
  readonly fleet: DutyFleet;
  readonly killed: Set<string>;
  readonly copies: StoreCopy[];
}

async function perform({ fleet, killed, copies }: PerformOptions, step: Step): Promise<void> {
  if (step.kind === 'pass') {
    await fleet.advance(step.byMs);
  } else if (step.kind === 'copy') {
    copies.push(fleet.store.copy());
  } else if (step.kind === 'restore') {
    copies.slice(-1).forEach((copy) => fleet.store.restore(copy));
  } else if (step.kind === 'start') {
    if (killed.delete(step.name)) {
      fleet.start(step.name, fleet.get(step.name).wallOffsetMs);
    }
  } else if (!killed.has(step.name)) {
    performOn(fleet.get(step.name), step);
    if (step.kind === 'leave') {
      await fleet.advance(LEAVE_MS);
      fleet.get(step.name).kill();
    }
    if (step.kind === 'leave' || step.kind === 'kill') {
      killed.add(step.name);
    }
  }
}

function performOn(
  router: FakeRouter,
  step: Exclude<Step, { kind: 'pass' | 'copy' | 'restore' | 'start' }>,
): void {
  if (step.kind === 'writes') {
    router.writes = step.writes;
  } else if (step.kind === 'wall') {
    router.wallOffsetMs = step.offsetMs;
  } else {
    ON_ROUTER[step.kind](router);
  }
}
