/** Steps on answers with neither a length nor chunks. */
import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';

import { createChunks, createContext, createEvents, respond, type RouterWorld } from './support.js';

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
    this.fallback = () => respond({ bodyEnd: 'close', body: createChunks(texts) });
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
