import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { toTargetStart } from '@galenatiller/target';
import type { TargetNotice } from '@galenatiller/types';

import type { SendCallOptions, SendResult } from '../src/ports.js';
import {
  createChunks,
  createContext,
  createEvents,
  createTarget,
  respond,
  type RouterWorld,
  type SendScript,
  startCall,
  streamEvents,
} from './support.js';

interface NoticeWorld extends RouterWorld {
  /** Times of the sends to each target, since the start of the first step that sends. */
  sentAtMs: Map<string, number[]>;
  breakCalls: (() => void)[];
}

const LEAVING: TargetNotice = { isLeaving: true };

function createPause(pauseMs: number): TargetNotice {
  return { isLeaving: false, pause: { text: `${pauseMs / 1_000}`, valuesMs: [pauseMs] } };
}

/** A body that goes on until its request is cancelled. */
async function* createUnendingBody(signal: AbortSignal): AsyncGenerator<Buffer> {
  yield Buffer.from('begins');
  await new Promise((_, reject) => {
    signal.addEventListener('abort', () => reject(new Error('cancelled')));
  });
}

function createAnswer(answer: string, notice: TargetNotice, opts: SendCallOptions): SendResult {
  switch (answer) {
    case 'refused':
    case 'inputs-gone':
      return { kind: answer, detail: 'scripted', notice };
    case 'cut off':
      return respond({ notice, body: createChunks(['wh'], 'reset') });
    case 'a cut stream':
      return respond({ notice, body: createChunks(createEvents(1, 2), 'reset') });
    case 'without end':
      return respond({ notice, bodyEnd: 'last-chunk', body: createUnendingBody(opts.signal) });
    default:
      return respond({ notice, status: Number(answer) });
  }
}

function respondWell(opts: SendCallOptions): SendResult {
  return opts.call.path.includes('resumable') ? streamEvents(opts) : respond();
}

/** Has targets respond as scripted, and counts the sends to each of them. */
function script(world: NoticeWorld, answer: SendScript): void {
  world.sentAtMs = new Map();
  const startedAtMs = world.routerTimer.nowMs();
  world.fallback = (opts) => {
    const { id } = opts.target;
    const sentAtMs = world.routerTimer.nowMs() - startedAtMs;
    world.sentAtMs.set(id, [...(world.sentAtMs.get(id) ?? []), sentAtMs]);
    return answer(opts);
  };
}

Given(
  'target {string} says that it is leaving with an answer that is {string}',
  function given(this: NoticeWorld, id: string, answer: string) {
    script(this, (opts) =>
      opts.target.id === id ? createAnswer(answer, LEAVING, opts) : respondWell(opts),
    );
  },
);

Given(
  'target {string} is started again during its first call',
  function given(this: NoticeWorld, id: string) {
    let starts = 1;
    script(this, (opts) => {
      if (opts.target.id !== id || starts > 1) {
        return respondWell(opts);
      }
      starts += 1;
      this.context.targets.put({ id, target: createTarget(id, starts), storeRevision: starts });
      return respond({ notice: LEAVING });
    });
  },
);

Given(
  'target {string} asks for a pause of {int} ms with an answer that is {string}',
  function given(this: NoticeWorld, id: string, pauseMs: number, answer: string) {
    script(this, (opts) =>
      opts.target.id === id ? createAnswer(answer, createPause(pauseMs), opts) : respondWell(opts),
    );
  },
);

Given(
  'target {string} states a load of {int} %',
  function given(this: NoticeWorld, id: string, percent: number) {
    const load = { running: 1, waiting: 0, relativeDuration: percent / 100 };
    script(this, (opts) =>
      opts.target.id === id ? respond({ notice: { isLeaving: false, load } }) : respondWell(opts),
    );
  },
);

Given(
  'each target asks for a pause of {int} ms with an answer that is {string}',
  function given(this: NoticeWorld, pauseMs: number, answer: string) {
    script(this, (opts) => createAnswer(answer, createPause(pauseMs), opts));
  },
);

function tell(world: NoticeWorld, notices: Readonly<Record<string, TargetNotice>>): void {
  script(world, respondWell);
  Object.entries(notices).forEach(([id, notice]) =>
    world.context.notices.record({
      target: toTargetStart(createTarget(id)),
      notice,
      source: 'call',
    }),
  );
}

Given(
  'both targets have asked for a pause, "a" of {int} ms and "b" of {int} ms',
  function given(this: NoticeWorld, firstMs: number, secondMs: number) {
    tell(this, { a: createPause(firstMs), b: createPause(secondMs) });
  },
);

Given('both targets have said that they are leaving', function given(this: NoticeWorld) {
  tell(this, { a: LEAVING, b: LEAVING });
});

When(
  '{int} {string} calls are made at once',
  async function when(this: NoticeWorld, calls: number, name: string) {
    Array.from({ length: calls }).forEach(() => startCall(this, { path: `/${name}/x` }));
    await this.routerClock.advance({ byMs: 1_000 });
  },
);

Then(
  /^target "([^"]*)" got (|at least |at most |more than )(\d+) sends?(?: in the first (\d+) ms)?$/,
  function then(
    this: NoticeWorld,
    id: string,
    bound: string,
    expected: string,
    withinMs: string | undefined,
  ) {
    const sends = (this.sentAtMs.get(id) ?? []).filter(
      (atMs) => atMs < Number(withinMs ?? Infinity),
    ).length;
    const isMet = {
      '': sends === Number(expected),
      'at least ': sends >= Number(expected),
      'at most ': sends <= Number(expected),
      'more than ': sends > Number(expected),
    }[bound];
    assert.ok(isMet, `${sends} sends`);
  },
);

Then('the targets got {int} sends in all', function then(this: NoticeWorld, expected: number) {
  assert.equal(this.sends.length, expected);
});

Then('no target is suspended or has failures', function then(this: NoticeWorld) {
  ['a', 'b'].forEach((id) => {
    assert.ok((this.sentAtMs.get(id) ?? []).length > 1);
    assert.equal(this.context.health.isSuspended(id), false);
    assert.equal(this.context.health.failureShare(id), 0);
  });
});

Then('it was refused at once', function then(this: NoticeWorld) {
  assert.equal(this.received.refusedAfterMs, 0);
});

Then('no piece was run', function then(this: NoticeWorld) {
  assert.deepEqual(this.pieceInputs, []);
});

When(
  '{int} calls break that had been sent to target {string} before',
  async function when(this: NoticeWorld, calls: number, id: string) {
    this.targetIds = [id];
    this.context = createContext(this);
    this.breakCalls = [];
    this.fallback = () =>
      new Promise((resolve) => {
        this.breakCalls.push(() => resolve({ kind: 'broken', detail: 'reset' }));
      });
    Array.from({ length: calls }).forEach(() => startCall(this, { path: '/order/x' }));
    await this.routerClock.advance({ byMs: 10 });
    tell(this, { [id]: createPause(5_000) });
    for (const breakCall of this.breakCalls) {
      breakCall();
      await this.routerClock.advance({ byMs: 10 });
    }
  },
);

Then(
  '{int} check was made of whether it still runs',
  function then(this: NoticeWorld, checks: number) {
    assert.equal(this.breakCalls.length, 4);
    assert.equal(this.probes, checks);
  },
);
