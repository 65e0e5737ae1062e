import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { chooseTarget, TargetLoads } from '@galenatiller/target';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { ExpectedLoad, RegisteredTarget } from '@galenatiller/types';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

interface UnevenWorld {
  loadClock: ManualClock;
  loads: TargetLoads;
  reported: string[];
  chosen: Readonly<Record<'with' | 'without', readonly string[]>>;
}

const TARGETS = Array.from({ length: 12 }, (_, index): RegisteredTarget => {
  const place = { service: 'engine', address: `10.0.0.${index}:1`, availabilityZone: 'zone' };
  return { id: `${index}`, ...place, startedWallMs: 1, version: 'v1', slots: 8, state: 'ready' };
});
const START = { targetId: 'a', start: 'a 1' };

function state({ loads }: UnevenWorld, percent: number): void {
  const load = { running: 0, waiting: 0, relativeDuration: percent / 100 };
  loads.record({ target: START, load, ownRequests: 0 });
}

Given(
  /^(?:a target that|it) has stated (\d+) %(?: and (\d+) % in turn)? ten times a second for (\d+) s$/,
  async function given(this: UnevenWorld, first: string, second: string | null, seconds: string) {
    if (!this.loads) {
      this.loadClock = ManualClock.create({ startWallMs: 1_000_000 });
      const timer = TimerService.create({ clock: this.loadClock });
      this.reported = [];
      this.loads = TargetLoads.create({ timer, onEvent: ({ kind }) => this.reported.push(kind) });
    }
    for (let index = 0; index < Number(seconds) * 10; index += 1) {
      state(this, Number(index % 2 === 0 ? first : (second ?? first)));
      await this.loadClock.advance({ byMs: 100 });
    }
  },
);

When(
  'it states {int} %, and then nothing for {int} ms',
  async function when(this: UnevenWorld, percent: number, ageMs: number) {
    state(this, percent);
    await this.loadClock.advance({ byMs: ageMs });
  },
);

Then(
  'work of {int} ms is expected to take {int} % to {int} %',
  function then(this: UnevenWorld, workMs: number, least: number, most: number) {
    const expected = this.loads.find({ target: START, workMs })?.relativeDuration ?? 0;
    const percent = Math.round(expected * 100);
    assert.ok(percent >= least && percent <= most, `${percent} %`);
  },
);

Then('{string} was reported', function then(this: UnevenWorld, kinds: string) {
  assert.equal(this.reported.join(', '), kinds);
});

function choose(expected?: readonly ExpectedLoad[]): readonly string[] {
  const generator = xoroshiro128plus(1);
  const random = (): number => uniformInt(generator, 0, 999_999) / 1_000_000;
  return Array.from({ length: 12 }).flatMap(() => {
    const sent: string[] = [];
    for (let count = 0; count < 40; count += 1) {
      const choice = chooseTarget({
        targets: TARGETS,
        tried: new Set(),
        promptParts: [],
        ownZone: 'zone',
        crossZoneInputBytes: () => 0,
        isSuspended: () => false,
        failureShare: () => 0,
        canAccept: () => true,
        hash: () => 0,
        inFlight: ({ id }) => sent.filter((other) => other === id).length,
        uneven: expected && { findLoad: ({ id }) => expected[Number(id)], random },
      });
      sent.push(choice.kind === 'chosen' ? choice.target.id : '');
    }
    return sent;
  });
}

When(
  'target 0 states {int} % with {int} requests of others, and the other 11 state {int} %',
  function when(this: UnevenWorld, first: number, otherRequests: number, rest: number) {
    const expected = TARGETS.map((_, index) =>
      index === 0
        ? { relativeDuration: first / 100, lastDuration: 1, otherRequests }
        : { relativeDuration: rest / 100, lastDuration: 1, otherRequests: 0 },
    );
    this.chosen = { with: choose(expected), without: choose() };
  },
);

Then(
  /^target 0 gets (\d+) % to (\d+) % of the calls, as without figures: (.*)$/,
  function then(this: UnevenWorld, least: string, most: string, same: string) {
    const { with: chosen, without } = this.chosen;
    const percent = (100 * chosen.filter((id) => id === '0').length) / chosen.length;
    assert.ok(percent >= Number(least) && percent <= Number(most), `${percent} %`);
    assert.equal(chosen.join() === without.join(), same === 'true');
  },
);
