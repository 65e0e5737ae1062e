/** Steps on what calls show about targets: crashes and rollouts. */
import assert from 'node:assert/strict';
import { once } from 'node:events';

import { Given, Then, When } from '@cucumber/cucumber';
import type { VersionRuns } from '@galenatiller/types';

import {
  createChunks,
  createContext,
  createEvents,
  makeCall,
  respond,
  type RouterWorld,
  streamEvents,
} from './support.js';

Given(
  /^(\d+) targets that (crash|break connections) before they respond to the prompt part "([^"]*)"$/,
  function given(this: RouterWorld, targets: string, how: string, deadlyPart: string) {
    this.targetIds = Array.from({ length: Number(targets) }, (_, index) => `target-${index}`);
    this.isTargetGone = how === 'crash';
    this.context = createContext(this);
    this.fallback = (opts) =>
      opts.call.promptParts.some(({ id }) => id === deadlyPart)
        ? respond({ body: createChunks([], 'other side closed') })
        : streamEvents(opts);
  },
);

interface EvidenceWorld extends RouterWorld {
  /** Runs of the old version that the rollout saw last. */
  oldRuns: VersionRuns;
}

/** What comes of a response of four events before its target crashes. */
const CUT_RESPONSES: Readonly<Record<string, readonly string[]>> = {
  'after the head': [],
  'within the first event': ['id: 1\nda'],
  'after the first event': createEvents(1, 1),
  'before the last event': createEvents(1, 3),
};

Given(
  /^(\d+) targets that crash (after|within|before) the (.+) of responses to the prompt part "([^"]*)"$/,
  function given(this: RouterWorld, targets: string, at: string, point: string, part: string) {
    const texts = CUT_RESPONSES[`${at} the ${point}`];
    assert.ok(texts);
    this.targetIds = Array.from({ length: Number(targets) }, (_, index) => `target-${index}`);
    this.isTargetGone = true;
    this.context = createContext(this);
    this.fallback = (opts) =>
      opts.call.promptParts.some(({ id }) => id === part)
        ? respond({ body: createChunks(texts, 'other side closed') })
        : streamEvents(opts);
  },
);

Given(
  /^a target that (crashes|lives) after a response of (\d+) bytes that ends with its connection$/,
  function given(this: RouterWorld, state: string, bytes: string) {
    this.targetIds = ['a'];
    this.isTargetGone = state === 'crashes';
    this.context = createContext(this);
    this.fallback = (opts) => {
      const isEventStream = opts.call.path.includes('stream');
      const texts = isEventStream ? createEvents(1, 2) : ['x'.repeat(Number(bytes))];
      return respond({ bodyEnd: 'close', body: createChunks(texts), isEventStream });
    };
  },
);

Then(
  /^the caller gets a response that ends by its (length|close)$/,
  function then(this: RouterWorld, bodyEnd: string) {
    assert.equal(this.received.head?.bodyEnd, bodyEnd);
    assert.equal(this.received.isEnded, true);
  },
);

When(
  'the same {string} call with the prompt part {string} is made {int} times',
  async function when(this: RouterWorld, name: string, id: string, times: number) {
    for (let index = 0; index < times; index += 1) {
      await makeCall(this, { path: `/${name}/x`, promptParts: [{ id, tokens: 100 }] });
    }
  },
);

When(
  '{int} {string} calls are made with the prompt parts {string} and one of their own',
  async function when(this: RouterWorld, calls: number, name: string, parts: string) {
    for (let index = 0; index < calls; index += 1) {
      const ids = [...parts.split(','), `own-${this.sends.length}-${index}`];
      const promptParts = ids.map((id) => ({ id, tokens: 100 }));
      await makeCall(this, { path: `/${name}/x?${index}`, promptParts });
    }
  },
);

Given('a rollout to the version of target {string}', function given(this: RouterWorld, id: string) {
  const target = this.context.targets.all().find((known) => known.id === id);
  assert.ok(target);
  const newer = { ...target, version: 'v2' };
  this.context.targets.put({ id, target: newer, storeRevision: 2 });
  this.context.rollouts.setOrder({
    service: target.service,
    targetVersion: newer.version,
    durationMs: 15_000,
    orderRevision: 3,
  });
});

Given('responses begin and never end', function given(this: RouterWorld) {
  async function* createBody(signal: AbortSignal): AsyncGenerator<Buffer> {
    yield Buffer.from('beginning');
    await once(signal, 'abort');
    throw new Error('aborted');
  }
  this.fallback = ({ signal }) => respond({ body: createBody(signal) });
});

Then('each send went to target {string}', function then(this: RouterWorld, id: string) {
  assert.ok(this.sends.length > 0);
  assert.deepEqual([...new Set(this.sends.map(({ target }) => target.id))], [id]);
});

Then(
  'the rollout saw {int} run(s) of the old version, {int} failed and {int} with a pace',
  function then(this: EvidenceWorld, runs: number, failures: number, measured: number) {
    this.oldRuns = takeOldRuns(this);
    const seen = this.oldRuns;
    assert.deepEqual([seen.runs, seen.failures, seen.measured], [runs, failures, measured]);
  },
);

Then('{int} of them was lost', function then(this: EvidenceWorld, lost: number) {
  assert.equal(this.oldRuns.lost, lost);
});

Then(
  'the rollout saw the starts of {int} runs of the old version',
  function then(this: RouterWorld, starts: number) {
    assert.equal(takeOldRuns(this).starts?.count, starts);
  },
);

function takeOldRuns(world: RouterWorld): VersionRuns {
  const [evidence] = world.context.rollouts.takeEvidence();
  return evidence?.oldRuns ?? { runs: 0, failures: 0, measured: 0, paceSumMs: 0 };
}
