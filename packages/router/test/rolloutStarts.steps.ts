/** Steps on calls whose versions differ in what their callers get first. */
import { When } from '@cucumber/cucumber';

import type { ObservedRun } from '../src/observedRun.js';
import { makeCalls, type RolloutWorld } from './rolloutWorld.js';

When(
  '{int} calls come in {int} s, and streams start after {int} ms on "v1" and {int} ms on "v2"',
  function when(this: RolloutWorld, calls: number, forS: number, oldMs: number, newMs: number) {
    return makeStreams(this, { calls, forS, oldMs, newMs, allowanceMs: 0 });
  },
);

When(
  '{int} calls come in {int} s, and streams start after {int} ms on "v1" and {int} ms on "v2" with {int} ms allowed',
  function when(
    this: RolloutWorld,
    calls: number,
    forS: number,
    oldMs: number,
    newMs: number,
    allowanceMs: number,
  ) {
    return makeStreams(this, { calls, forS, oldMs, newMs, allowanceMs });
  },
);

When(
  '{int} calls come in {int} s, and streams start after {int} ms, but once after {int} ms on "v2"',
  function when(this: RolloutWorld, calls: number, forS: number, usualMs: number, onceMs: number) {
    return makeCalls(this, {
      calls,
      forS,
      run: ({ version }) =>
        createStream({ startMs: version === 'v2' && this.newCalls === 3 ? onceMs : usualMs }),
    });
  },
);

When(
  '{int} calls come in {int} s, and callers leave without a response in {int} of 10 runs on "v2" and {int} on "v1"',
  function when(this: RolloutWorld, calls: number, forS: number, ofNew: number, ofOld: number) {
    return makeCalls(this, {
      calls,
      forS,
      run: ({ version }) => {
        const isNew = version === 'v2';
        const isLost = (isNew ? this.newCalls : this.calls) % 10 < (isNew ? ofNew : ofOld);
        return isLost
          ? { route: 'ask', ending: 'lost', paceMs: undefined }
          : createStream({ startMs: 200 });
      },
    });
  },
);

function makeStreams(
  world: RolloutWorld,
  opts: {
    readonly calls: number;
    readonly forS: number;
    readonly oldMs: number;
    readonly newMs: number;
    readonly allowanceMs: number;
  },
): Promise<void> {
  const { oldMs, newMs, allowanceMs } = opts;
  return makeCalls(world, {
    ...opts,
    run: ({ version }) => createStream({ startMs: version === 'v2' ? newMs : oldMs, allowanceMs }),
  });
}

/** Creates the run of a stream whose events come at the same pace on each version. */
function createStream(opts: {
  readonly startMs: number;
  readonly allowanceMs?: number;
}): Omit<ObservedRun, 'target'> {
  const start = { tookMs: opts.startMs, allowanceMs: opts.allowanceMs ?? 0 };
  return { route: 'ask', ending: 'good', paceMs: 20, start };
}
