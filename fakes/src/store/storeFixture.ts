import { CallBudget, StoreClient } from '@galenatiller/store';
import { ManualClock, TimerService } from '@galenatiller/timer';

import { FakeStore } from './fakeStore.js';

/** A stand-in store on a manual clock. */
export interface StoreFixture {
  readonly clock: ManualClock;
  readonly timer: TimerService;
  readonly fakeStore: FakeStore;
}

/** Makes an empty stand-in store. */
export function createStoreFixture(): StoreFixture {
  const clock = ManualClock.create({ startWallMs: 1_000_000 });
  const timer = TimerService.create({ clock });
  return { clock, timer, fakeStore: FakeStore.create({ timer }) };
}

/** Makes a client of the stand-in with even jitter. */
export function createFixtureClient(
  bench: StoreFixture,
  opts: { readonly callsPerSecond?: number; readonly random?: () => number } = {},
): StoreClient {
  const callsPerSecond = opts.callsPerSecond ?? 1_000;
  const { timer, fakeStore: fake } = bench;
  const budget = CallBudget.create({ timer, callsPerSecond, maxBurstCalls: callsPerSecond });
  const random = opts.random ?? (() => 0.5);
  return StoreClient.create({ transport: fake.transport, timer, budget, random });
}

/** Advances the clock step by step until a promise settles. */
export async function advanceUntil<Value>(
  clock: ManualClock,
  promise: Promise<Value>,
  stepMs = 10,
): Promise<Value> {
  let settled = false;
  const watched = promise.finally(() => {
    settled = true;
  });
  watched.catch(() => {});
  while (!settled) {
    await clock.advance({ byMs: stepMs });
  }
  return watched;
}
