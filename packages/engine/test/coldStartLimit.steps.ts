import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { ColdStartLimit, type RunEndKind, type RunTicket } from '@galenatiller/engine';
import { ManualClock, TimerService } from '@galenatiller/timer';
import fc from 'fast-check';

interface ColdStartWorld {
  targetClock: ManualClock;
  coldStart: ColdStartLimit;
  targetStarts: number;
}

/** One event in the history of a target. */
type TargetEvent =
  | { readonly kind: 'start' }
  | { readonly kind: 'end'; readonly how: RunEndKind; readonly firstPartMs: number }
  | { readonly kind: 'identity' }
  | { readonly kind: 'restart' }
  | { readonly kind: 'wait'; readonly byMs: number };

const IN_FLIGHT_LIMIT = 16;
const COLD_LIMIT = 2;
const WARM_UP_MS = 100;
const IDENTITY_TTL_MS = 1_000;

Given(
  'a target that can handle {int} runs warm and {int} cold, with a warm-up time of {int} ms',
  function given(this: ColdStartWorld, inFlightLimit: number, coldInFlightLimit: number, warmUpMs) {
    this.targetClock = ManualClock.create({ startWallMs: 0 });
    this.targetStarts = 1;
    this.coldStart = ColdStartLimit.create({
      timer: TimerService.create({ clock: this.targetClock }),
      inFlightLimit,
      coldInFlightLimit,
      warmUpMs,
      identityTtlMs: IDENTITY_TTL_MS,
    });
    this.coldStart.onStartId('1');
  },
);

When(
  'the target answers {int} rounds of runs at its limit, each within {int} ms',
  async function when(this: ColdStartWorld, rounds: number, firstPartMs: number) {
    for (let round = 0; round < rounds; round += 1) {
      await answerRuns(this, { runs: this.coldStart.limit(), firstPartMs });
    }
  },
);

When(
  'the target answers {int} single runs, each within {int} ms',
  async function when(this: ColdStartWorld, runs: number, firstPartMs: number) {
    for (let run = 0; run < runs; run += 1) {
      await answerRuns(this, { runs: 1, firstPartMs });
    }
  },
);

When('the target restarts and reports its new identity', function when(this: ColdStartWorld) {
  this.targetStarts += 1;
  this.coldStart.onStartId(String(this.targetStarts));
});

When('the target reports its identity', function when(this: ColdStartWorld) {
  this.coldStart.onStartId(String(this.targetStarts));
});

When('the target is idle for {int} ms', function when(this: ColdStartWorld, byMs: number) {
  return this.targetClock.advance({ byMs });
});

When('a run on the target ends as {string}', function when(this: ColdStartWorld, how: RunEndKind) {
  endRuns(this, { runs: 1, how, firstPartMs: 0 });
});

When(
  '{int} runs on the target end as {string} after {int} ms',
  function when(this: ColdStartWorld, runs: number, how: RunEndKind, firstPartMs: number) {
    endRuns(this, { runs, how, firstPartMs });
  },
);

Then(
  'the target is {string} with a limit of {int}',
  function then(this: ColdStartWorld, state: string, limit: number) {
    assert.equal(this.coldStart.state(), state);
    assert.equal(this.coldStart.limit(), limit);
  },
);

Then('none of {int} histories raises the limit beyond the evidence', async (numRuns: number) => {
  const how = fc.constantFrom<RunEndKind>('ok', 'ok', 'ok', 'ok', 'failed', 'broken', 'cold');
  const event = fc.oneof(
    { weight: 20, arbitrary: fc.constant<TargetEvent>({ kind: 'start' }) },
    {
      weight: 20,
      arbitrary: fc.record({
        kind: fc.constant('end' as const),
        how,
        firstPartMs: fc.constantFrom(5, 5, 5, 900),
      }),
    },
    { weight: 4, arbitrary: fc.constant<TargetEvent>({ kind: 'identity' }) },
    { weight: 1, arbitrary: fc.constant<TargetEvent>({ kind: 'restart' }) },
    {
      weight: 4,
      arbitrary: fc.record({ kind: fc.constant('wait' as const), byMs: fc.nat({ max: 300 }) }),
    },
  );
  await fc.assert(
    fc.asyncProperty(fc.array(event, { maxLength: 150 }), (events) =>
      assertLimitWithinEvidence(events),
    ),
    { numRuns, seed: 7 },
  );
});

async function answerRuns(
  world: ColdStartWorld,
  opts: { readonly runs: number; readonly firstPartMs: number },
): Promise<void> {
  const tickets = Array.from({ length: opts.runs }, () => world.coldStart.onRunStarted());
  await world.targetClock.advance({ byMs: 10 });
  world.coldStart.onStartId(String(world.targetStarts));
  tickets.forEach((ticket) => {
    world.coldStart.onRunEnded({ ticket, how: 'ok', firstPartMs: opts.firstPartMs });
  });
}

function endRuns(
  { coldStart }: ColdStartWorld,
  opts: { readonly runs: number; readonly how: RunEndKind; readonly firstPartMs: number },
): void {
  Array.from({ length: opts.runs }, () => coldStart.onRunStarted()).forEach((ticket) => {
    coldStart.onRunEnded({ ticket, how: opts.how, firstPartMs: opts.firstPartMs });
  });
}

/** Checks the limit against bounds that are derived here from the events alone. */
async function assertLimitWithinEvidence(events: readonly TargetEvent[]): Promise<void> {
  const clock = ManualClock.create({ startWallMs: 0 });
  const coldStart = ColdStartLimit.create({
    timer: TimerService.create({ clock }),
    inFlightLimit: IN_FLIGHT_LIMIT,
    coldInFlightLimit: COLD_LIMIT,
    warmUpMs: WARM_UP_MS,
    identityTtlMs: IDENTITY_TTL_MS,
  });
  const running: RunTicket[] = [];
  let starts = 1;
  let restartedAtMs = 0;
  let goodRuns = 0;
  let maxInFlight = 0;
  for (const event of events) {
    switch (event.kind) {
      case 'start':
        running.push(coldStart.onRunStarted());
        break;
      case 'end': {
        const ticket = running.shift();
        if (ticket) {
          coldStart.onRunEnded({ ticket, how: event.how, firstPartMs: event.firstPartMs });
          if (event.how === 'ok') {
            goodRuns += 1;
            maxInFlight = Math.max(maxInFlight, ticket.inFlight);
          }
          if (event.how === 'broken') {
            assert.ok(coldStart.limit() <= COLD_LIMIT);
          }
        }
        break;
      }
      case 'wait':
        await clock.advance({ byMs: event.byMs });
        break;
      default:
        if (event.kind === 'restart') {
          starts += 1;
          restartedAtMs = clock.nowMs();
          goodRuns = 0;
          maxInFlight = 0;
        }
        coldStart.onStartId(String(starts));
    }
    const limit = coldStart.limit();
    assert.ok(limit >= 1 && limit <= IN_FLIGHT_LIMIT);
    assert.ok(limit <= COLD_LIMIT + goodRuns);
    assert.ok(limit <= Math.max(COLD_LIMIT, 3 * maxInFlight));
    assert.ok(limit <= COLD_LIMIT || clock.nowMs() - restartedAtMs >= WARM_UP_MS);
  }
}
