import { CallBudget, StoreClient } from '@galenatiller/store';
import { ManualClock, TimerService } from '@galenatiller/timer';

import { FakeStore } from './fakeStore.js';

/** A fake store on a manual clock. */
export interface StoreFixture {
  readonly clock: ManualClock;
  readonly timer: TimerService;
  readonly fakeStore: FakeStore;
}

/** Creates a fixture with an empty fake store. */
export function createStoreFixture(opts: { readonly hasClusterId?: boolean } = {}): StoreFixture {
  const clock = ManualClock.create({ startWallMs: 1_000_000 });
  const timer = TimerService.create({ clock });
  return { clock, timer, fakeStore: FakeStore.create({ ...opts, timer }) };
}

/** Creates a client of the fake store, with constant jitter by default. */
export function createFixtureClient(
  fixture: StoreFixture,
  opts: { readonly callsPerSecond?: number; readonly random?: () => number } = {},
): StoreClient {
  const callsPerSecond = opts.callsPerSecond ?? 1_000;
  const { timer, fakeStore } = fixture;
  const budget = CallBudget.create({ timer, callsPerSecond, maxBurstCalls: callsPerSecond });
  const random = opts.random ?? (() => 0.5);
  return StoreClient.create({ transport: fakeStore.transport, timer, budget, random });
}

/** Advances the clock in steps until a promise settles. */
export async function advanceUntil<Value>(
  clock: ManualClock,
  promise: Promise<Value>,
  stepMs = 10,
): Promise<Value> {
  let isSettled = false;
  const tracked = promise.finally(() => {
    isSettled = true;
  });
  tracked.catch(() => {});
  while (!isSettled) {
    await clock.advance({ byMs: stepMs });
  }
  return tracked;
}
