import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import { indexRules } from '@galenatiller/configuration';
import {
  chooseLinks,
  chooseTarget,
  type ChooseTargetOptions,
  decideRetry,
  RetryBudget,
  type RetryDecision,
  type TargetView,
} from '@galenatiller/entry';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { Outcome, StageRule, TargetReport } from '@galenatiller/types';
import fc from 'fast-check';

interface DecisionsWorld {
  decision: RetryDecision;
  allowed: number;
  chosen: string;
}

const PROPERTY = { seed: 20261204, numRuns: 500 };
const ZONES = ['east-a', 'east-b', 'west-a'];
const askedBy = 'test';
const stage: StageRule = {
  kind: 'stage',
  name: 'draft',
  work: 'generate',
  targetGroup: 'drafter',
  idempotent: true,
  maxTokens: 8,
  askedBy,
};
const report: TargetReport = {
  name: 'engine-1',
  kind: 'engine',
  group: 'drafter',
  version: 'v1',
  state: 'ready',
  inFlight: 0,
  queued: 0,
  inFlightLimit: 8,
  runMs: 10,
  prefixHashes: [],
};

When(
  /^an attempt at (an idempotent|an at-most-once) ended with (\d+) and outcome "(.*)"$/,
  function when(this: DecisionsWorld, kind: string, code: string, outcome: Outcome) {
    this.decision = decideRetry({
      stage: { ...stage, idempotent: kind === 'an idempotent' },
      end: { outcome, code: Number(code), detail: '', retryAfterMs: 0, queueMs: 0, runMs: 0 },
      attempts: 1,
      remainingMs: 1_000,
      random: () => 0.5,
      tryWithdrawRetry: () => true,
    });
  },
);

When(
  'a retry budget sees {int} first attempts that all fail and request a retry',
  function when(this: DecisionsWorld, attempts: number) {
    const timer = TimerService.create({ clock: ManualClock.create({ startWallMs: 1_000_000 }) });
    const budget = RetryBudget.create({ timer });
    const allowed = Array.from({ length: attempts }, () => {
      budget.deposit('drafter');
      return budget.tryWithdraw('drafter');
    });
    this.allowed = allowed.filter(Boolean).length;
  },
);

When(
  'an entry that is restarted each {int} ms for {int} ms requests as many retries as it may',
  async function when(this: DecisionsWorld, intervalMs: number, forMs: number) {
    const clock = ManualClock.create({ startWallMs: 1_000_000 });
    const timer = TimerService.create({ clock });
    this.allowed = 0;
    for (let atMs = 0; atMs < forMs; atMs += intervalMs) {
      const budget = RetryBudget.create({ timer });
      budget.deposit('drafter');
      while (budget.tryWithdraw('drafter')) {
        this.allowed += 1;
      }
      await clock.advance({ byMs: intervalMs });
    }
  },
);

When(
  'the entry chooses between a full target in its own zone and an idle one in another zone',
  function when(this: DecisionsWorld) {
    const full = createView({ ...report, name: 'full', inFlight: 8, queued: 4 }, 'east-a');
    const idle = createView({ ...report, name: 'idle' }, 'west-a');
    this.chosen = choose({ candidates: [full, idle] });
  },
);

Then(/^the entry decides to (retry|give-up)$/, function then(this: DecisionsWorld, kind: string) {
  assert.equal(this.decision.kind, kind);
});

Then(
  'the budget allowed at least {int} and at most {int} retries',
  function then(this: DecisionsWorld, min: number, max: number) {
    assert.ok(this.allowed >= min && this.allowed <= max, String(this.allowed));
  },
);

When(
  'the entry chooses between an idle target that is paused for {int} ms and a full one',
  function when(this: DecisionsWorld, pausedMs: number) {
    const full = createView({ ...report, name: 'full', inFlight: 8, queued: 4 }, 'east-a');
    const paused = createView({ ...report, name: 'paused', pausedMs }, 'east-a');
    this.chosen = choose({ candidates: [paused, full] });
  },
);

Then('it chooses the full target', function then(this: DecisionsWorld) {
  assert.equal(this.chosen, 'full');
});

Then('of two paused targets it chooses the one that returns first', () => {
  const candidates = [900, 300].map((pausedMs) =>
    createView({ ...report, name: String(pausedMs), pausedMs }, 'east-a'),
  );
  assert.equal(choose({ candidates }), '300');
});

Then('it chooses the idle target', function then(this: DecisionsWorld) {
  assert.equal(this.chosen, 'idle');
});

Then(
  'for random targets the chosen one is ready or cold, untried and not in a zone that is out',
  () => {
    const views = fc.array(
      fc.record({
        state: fc.constantFrom(
          'ready' as const,
          'cold' as const,
          'down' as const,
          'leaving' as const,
        ),
        zone: fc.constantFrom(...ZONES),
        load: fc.nat({ max: 20 }),
        isAcceptingWork: fc.boolean(),
      }),
      { maxLength: 8 },
    );
    fc.assert(
      fc.property(
        views,
        fc.array(fc.nat({ max: 7 })),
        fc.double({ max: 0.99, min: 0 }),
        (targets, tried, random) => {
          const candidates = targets.map((each, index) => ({
            ...createView(
              { ...report, name: `t${index}`, state: each.state, inFlight: each.load },
              each.zone,
            ),
            isAcceptingWork: each.isAcceptingWork,
          }));
          const triedTargets = tried.map((index) => `t${index}`);
          const chosen = choose({ candidates, triedTargets, random: () => random });
          const view = candidates.find(({ report: { name } }) => name === chosen);
          const allowed = candidates.filter(
            (each) =>
              each.isAcceptingWork &&
              ['ready', 'cold'].includes(each.report.state) &&
              each.availabilityZone !== 'east-b' &&
              !triedTargets.includes(each.report.name),
          );
          assert.equal(view !== undefined, allowed.length > 0);
          assert.ok(view === undefined || allowed.includes(view));
        },
      ),
      PROPERTY,
    );
  },
);

Then('for random gates each group keeps its links, and a lost gate moves no other link', () => {
  const gates = fc.uniqueArray(
    fc.record({
      gateName: fc.integer({ min: 0, max: 400 }).map((number) => `gate-${number}`),
      targetGroups: fc.constant(['drafter']),
    }),
    { minLength: 2, maxLength: 40, selector: ({ gateName }) => gateName },
  );
  fc.assert(
    fc.property(
      gates,
      fc.integer({ min: 1, max: 8 }),
      fc.nat(),
      (candidates, linksPerGroup, lost) => {
        const chosen = chooseLinks({ entryName: 'entry-1', gates: candidates, linksPerGroup });
        assert.equal(chosen.size, Math.min(linksPerGroup, candidates.length));
        const left = candidates.filter((_, index) => index !== lost % candidates.length);
        const after = chooseLinks({ entryName: 'entry-1', gates: left, linksPerGroup });
        const lostName = candidates[lost % candidates.length]?.gateName;
        assert.ok([...chosen].every((name) => name === lostName || after.has(name)));
      },
    ),
    PROPERTY,
  );
});

function choose(opts: Partial<ChooseTargetOptions>): string {
  const rules = [{ kind: 'zone', name: 'east-b', state: 'out', askedBy } as const];
  return chooseTarget({
    candidates: [],
    triedTargets: [],
    stage,
    route: 'draft',
    input: { kind: 'generate', prompt: '', maxTokens: 8, deliveredText: '', deliveredTokens: 0 },
    priority: 'interactive',
    remainingMs: 1_000,
    ownAvailabilityZone: 'east-a',
    configuration: indexRules({ revision: 1, rules }),
    random: () => 0,
    ...opts,
  }).match({ Just: (view) => view.report.name, Nothing: () => '' });
}

function createView(targetReport: TargetReport, availabilityZone: string): TargetView {
  return {
    report: targetReport,
    gateName: 'gate-1',
    availabilityZone,
    reportAgeMs: 0,
    ownInFlight: 0,
    sentSinceReport: 0,
    isAcceptingWork: true,
  };
}
