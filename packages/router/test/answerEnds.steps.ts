/** Steps on answers with neither a length nor chunks. */
import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import type { SenderState } from '../src/ports.js';
import { SenderChecks } from '../src/senderChecks.js';
import {
  createChunks,
  createContext,
  createEvents,
  createTarget,
  respond,
  type RouterWorld,
  startCall,
  streamEvents,
} from './support.js';

/** What comes of an answer before it ends. */
const BODIES: Readonly<Record<string, readonly string[]>> = {
  'stream between events': createEvents(1, 2),
  'stream within an event': [...createEvents(1, 1), 'id: 2\nda'],
  'stream before an event': [],
  'plain body anywhere': ['beginning'],
};

Given(
  /^a target whose (stream|plain body) ends (.+), and (lives|crashes) afterwards$/,
  function given(this: RouterWorld, answer: string, where: string, sender: string) {
    const texts = BODIES[`${answer} ${where}`];
    assert.ok(texts);
    this.targetIds = ['a'];
    this.isTargetGone = sender === 'crashes';
    this.context = createContext(this);
    const isEventStream = answer === 'stream';
    this.fallback = () => respond({ bodyEnd: 'close', body: createChunks(texts), isEventStream });
  },
);

Then(
  'the call has a line {string} with framing {string} and position {string}',
  function then(this: RouterWorld, event: string, framing: string, position: string) {
    const lines = this.logged.filter((line) => line.event === event);
    assert.deepEqual(
      lines.map((line) => [line.framing, line.position]),
      [[framing, position]],
    );
  },
);

interface AnswerEndsWorld extends RouterWorld {
  questions: ((state: SenderState) => void)[];
  learnt: Promise<SenderState>[];
  /** Aborts the calls of those who ask. */
  calls: AbortController;
}

/** Creates checks whose questions wait for a step to answer them. */
function createChecks(
  world: AnswerEndsWorld,
  { mayAsk }: { readonly mayAsk: boolean },
): SenderChecks {
  return SenderChecks.create({
    timer: world.routerTimer,
    mayAsk: () => mayAsk,
    ask: () =>
      new Promise((resolve) => {
        world.questions.push(resolve);
      }),
  });
}

Given(
  /^a target whose (stream|plain body) ends (.+), and whose process then shows itself as "([^"]*)"$/,
  function given(this: RouterWorld, answer: string, where: string, sender: SenderState) {
    answerFirst(this, { texts: BODIES[`${answer} ${where}`], isStream: answer === 'stream' });
    this.fallback = this.scripts[0] ?? this.fallback;
    this.senderState = sender;
  },
);

Given(
  'a first target whose stream ends between events, and whose process then shows itself as {string}',
  function given(this: RouterWorld, sender: SenderState) {
    answerFirst(this, { texts: BODIES['stream between events'], isStream: true });
    this.fallback = streamEvents;
    this.senderState = sender;
  },
);

Given(
  'a target whose stream ends between events, and whose process shows itself at the {int}th question',
  function given(this: RouterWorld, question: number) {
    answerFirst(this, { texts: BODIES['stream between events'], isStream: true });
    Object.defineProperty(this, 'senderState', {
      get: () => (this.probes < question ? 'unknown' : 'same-start'),
    });
  },
);

/** Makes the first send end with a body without framing. */
function answerFirst(
  world: RouterWorld,
  opts: { readonly texts: readonly string[] | undefined; readonly isStream: boolean },
): void {
  const { texts, isStream: isEventStream } = opts;
  assert.ok(texts);
  world.scripts = [() => respond({ bodyEnd: 'close', body: createChunks(texts), isEventStream })];
}

Given("the caller's protocol has no chunks", function given(this: RouterWorld) {
  this.hasChunks = false;
});

When(
  'a {string} call is made and {int} ms pass',
  async function when(this: RouterWorld, name: string, byMs: number) {
    const callerTimeoutMs = 5_000;
    startCall(this, { path: `/${name}/x`, callerTimeoutMs });
    await this.routerClock.advance({ byMs });
  },
);

Then(
  'no write before the end completed an event that was the last one',
  function then(this: RouterWorld) {
    const { writes } = this.received;
    assert.ok(writes.length > 2);
    assert.equal(writes.at(-1), '\n');
    const partial = writes.slice(0, -1).map((_write, index) => writes.slice(0, index + 1).join(''));
    assert.deepEqual(
      partial.filter((text) => text.endsWith('\n\n')),
      [],
    );
  },
);

Then(
  'the caller gets the events {int} to {int} without the last byte, and an aborted response',
  function then(this: RouterWorld, from: number, to: number) {
    assert.equal(this.received.bytes, createEvents(from, to).join('').slice(0, -1));
    assert.deepEqual([this.received.isEnded, this.received.isAborted], [false, true]);
  },
);

Given(
  'a question to a target is in progress when two bodies end',
  function given(this: AnswerEndsWorld) {
    this.questions = [];
    this.calls = new AbortController();
    const { signal } = this.calls;
    const checks = createChecks(this, { mayAsk: true });
    this.learnt = [1, 2, 3].map(() =>
      checks.check({ target: createTarget('a'), limitMs: 1_000, signal }),
    );
  },
);

When(
  'the target answers that it runs, and is gone at the next question',
  async function when(this: AnswerEndsWorld) {
    this.questions[0]?.('same-start');
    await this.learnt[0];
    await this.routerClock.advance({ byMs: 1 });
    this.questions[1]?.('gone');
  },
);

Then(
  'the first asker learns {string} and the other two {string}, by {int} questions',
  async function then(this: AnswerEndsWorld, first: string, others: string, questions: number) {
    assert.deepEqual(await Promise.all(this.learnt), [first, others, others]);
    assert.equal(this.questions.length, questions);
  },
);

Given('a target that may not be asked when a body ends', function given(this: AnswerEndsWorld) {
  this.questions = [];
  const { signal } = new AbortController();
  const checks = createChecks(this, { mayAsk: false });
  this.learnt = [checks.check({ target: createTarget('a'), limitMs: 500, signal })];
});

When('the router runs for {int} ms', function when(this: RouterWorld, byMs: number) {
  return this.routerClock.advance({ byMs });
});

Then(
  'nobody asked the target, and the asker with 500 ms learns {string}',
  async function then(this: AnswerEndsWorld, state: string) {
    assert.deepEqual(await Promise.all(this.learnt), [state]);
    assert.equal(this.questions.length, 0);
  },
);

When('their calls are aborted', function when(this: AnswerEndsWorld) {
  this.calls.abort();
});

Then(
  'the askers learn {string} at once',
  async function then(this: AnswerEndsWorld, state: string) {
    assert.deepEqual(await Promise.all(this.learnt), [state, state, state]);
  },
);
