/** Steps on streams that broke off in the middle and that no other target continues. */
import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';

import type { SendResponse } from '../src/ports.js';
import {
  createChunks,
  createContext,
  createEvents,
  respond,
  type RouterWorld,
  type SendScript,
} from './support.js';

const refuse: SendScript = () => ({ kind: 'refused', detail: 'scripted' });

/** What happens when the stream breaks off, and how later sends end. */
const OBSTACLES: Readonly<Record<string, (world: RouterWorld) => SendScript>> = {
  'the retry budget is exhausted': (world) => {
    world.context.retryBudget.tryWithdraw = () => false;
    return refuse;
  },
  'every target refuses': () => refuse,
  'no target is left': (world) => {
    world.context.targets.replaceAll([]);
    return refuse;
  },
  'the prompt is stopped': (world) => {
    world.context.crashSuspects.findStopped = () => 'part';
    return refuse;
  },
  'the stage results are gone': () => () => ({ kind: 'inputs-gone', detail: 'status 409' }),
};

const ANSWERS: Readonly<Record<string, Partial<SendResponse>>> = {
  'status 500': { status: 500 },
  'status 404': { status: 404 },
  'status 302': { status: 302, passedHeaders: ['Location', '/elsewhere'] },
  'status 206': { status: 206 },
  'a body of another type': { isEventStream: false, body: createChunks(['{}\n\n']) },
  'a body with a length': { bodyEnd: 'length', isEventStream: false, body: createChunks(['{}']) },
  'a head only': { body: createChunks([]) },
  'events from the start': { body: createChunks(createEvents(1, 4)) },
  'events without proof of origin': { isSealed: false, body: createChunks(createEvents(3, 4)) },
};

async function* createBrokenStream(onBroken: () => void): AsyncGenerator<Buffer> {
  yield* createChunks(createEvents(1, 2));
  onBroken();
  throw new Error('reset');
}

Given(
  /^the first stream is interrupted after event 2, and then (?!the next target answers)(.+)$/,
  function given(this: RouterWorld, what: string) {
    const prepare = OBSTACLES[what];
    assert.ok(prepare, what);
    this.context = createContext(this);
    const onBroken = (): void => {
      this.fallback = prepare(this);
    };
    this.scripts = [() => respond({ body: createBrokenStream(onBroken) })];
  },
);

Given(
  /^the first stream is interrupted after event 2, and then the next target answers with (.+)$/,
  function given(this: RouterWorld, what: string) {
    const answer = ANSWERS[what];
    assert.ok(answer, what);
    this.scripts = [() => respond({ body: createBrokenStream(() => {}) })];
    this.fallback = () => respond({ isEventStream: true, ...answer });
  },
);

Given(
  'the connection breaks during the first call, and its stage results are gone after it',
  function given(this: RouterWorld) {
    this.scripts = [() => ({ kind: 'broken', detail: 'reset' })];
    this.fallback = () => ({ kind: 'inputs-gone', detail: 'status 409' });
  },
);

Then('the call has one line that it was cut', function then(this: RouterWorld) {
  const endings = this.logged.filter(({ event }) => event.startsWith('call-'));
  assert.deepEqual(
    endings.map(({ event, outcome }) => [event, outcome?.split(':')[0]]),
    [['call-ended', 'cut']],
  );
});
