import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import type { ProviderMode } from '@galenatiller/fakes';
import fc from 'fast-check';

import { UsageFleet } from './usageWorld.js';

interface RandomWorld {
  failure: unknown;
}

const SEED = 20_261_206;
const NAMES = ['a', 'b', 'c'];
const MODES: readonly ProviderMode[] = ['up', 'up', 'loses-answer', 'late', 'down', 'limits'];
const STORE_MODES = ['up', 'up', 'away', 'loses-answer', 'late'] as const;

type Step = (fleet: UsageFleet) => void | Promise<void>;

const name = fc.constantFrom(...NAMES);

/** A step by its description, so that a counterexample can be read. */
function describeStep(text: string, run: Step): { readonly run: Step; toString: () => string } {
  return { run, toString: () => text };
}

const steps = fc.oneof(
  {
    weight: 6,
    arbitrary: fc
      .integer({ min: 100, max: 6_000 })
      .map((byMs) => describeStep(`advance ${byMs}`, (fleet) => fleet.advance(byMs))),
  },
  {
    weight: 4,
    arbitrary: fc.tuple(name, fc.integer({ min: 1, max: 5 })).map(([router, requests]) =>
      describeStep(`count ${requests} at ${router}`, (fleet) => {
        if (fleet.node(router).isUp) {
          fleet.count(router, 'shop', requests);
        }
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: fc.tuple(name, fc.boolean()).map(([router, isSplit]) =>
      describeStep(`elect ${router}${isSplit ? ', unnoticed' : ''}`, (fleet) => {
        if (fleet.node(router).isUp) {
          fleet.elect(router, { isSplit });
        }
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: name.map((router) =>
      describeStep(`restart ${router}`, (fleet) => {
        fleet.kill(router);
        fleet.start(router);
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: name.map((router) =>
      describeStep(`cut or join ${router}`, (fleet) => {
        const node = fleet.node(router);
        node.isLinked = !node.isLinked;
      }),
    ),
  },
  {
    weight: 3,
    arbitrary: fc.constantFrom(...MODES).map((mode) =>
      describeStep(`provider ${mode}`, (fleet) => {
        fleet.provider.mode = mode;
      }),
    ),
  },
  {
    weight: 3,
    arbitrary: fc.constantFrom(...STORE_MODES).map((mode) =>
      describeStep(`store ${mode}`, (fleet) => {
        fleet.store.mode = mode;
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: fc.constant(
      describeStep('execute late calls', (fleet) => {
        fleet.provider.executeLate();
        fleet.store.executeLate();
      }),
    ),
  },
  { weight: 1, arbitrary: fc.constant(describeStep('copy', (fleet) => fleet.store.takeCopy())) },
  { weight: 1, arbitrary: fc.constant(describeStep('restore', (fleet) => fleet.store.restore())) },
  {
    weight: 1,
    arbitrary: fc.tuple(name, fc.integer({ min: -400, max: 400 })).map(([router, errorMs]) =>
      describeStep(`clock of ${router} by ${errorMs}`, (fleet) => {
        fleet.node(router).wallErrorMs = errorMs;
      }),
    ),
  },
);

When(
  'routers, store and provider fail in {int} random orders',
  { timeout: 120_000 },
  async function when(this: RandomWorld, runs: number) {
    let accepted = 0;
    const property = fc.asyncProperty(
      fc.array(steps, { minLength: 20, maxLength: 60 }),
      async (order) => {
        const fleet = new UsageFleet();
        NAMES.forEach((router) => fleet.start(router));
        fleet.elect('a');
        for (const step of order) {
          await step.run(fleet);
        }
        fleet.provider.executeLate();
        fleet.provider.mode = 'up';
        await fleet.advance(10_000);
        accepted += fleet.provider.accepted.length;
        await fleet.close();
        assert.deepEqual(fleet.provider.violations, []);
      },
    );
    this.failure = await fc
      .assert(property, { seed: SEED, numRuns: runs, endOnFailure: true })
      .catch(String);
    // Without accepted reports, the orders would show nothing.
    assert.ok(accepted > runs, `${accepted} reports`);
  },
);

Then('never were two different counts accepted for a window', function then(this: RandomWorld) {
  assert.equal(this.failure, undefined);
});
