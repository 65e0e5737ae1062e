import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { type CacheEvent, PrefixCacheTracker, computePrefixHashes } from '@galenatiller/engine';
import { ManualClock, TimerService } from '@galenatiller/timer';
import fc from 'fast-check';

interface PrefixWorld {
  prefixClock: ManualClock;
  prefixCache: PrefixCacheTracker;
  promptHashes: readonly string[];
}

const BLOCK_CHARS = 256;

Given(
  'a prefix cache tracker with a half-life of {int} ms',
  function given(this: PrefixWorld, halfLifeMs) {
    this.prefixClock = ManualClock.create({ startWallMs: 0 });
    const timer = TimerService.create({ clock: this.prefixClock });
    this.prefixCache = PrefixCacheTracker.create({ timer, halfLifeMs: Number(halfLifeMs) });
  },
);

When(
  'target {string} stores the first {int} blocks of a prompt of {int} blocks as event {int}',
  function when(this: PrefixWorld, targetName, stored: number, blocks: number, sequence) {
    this.promptHashes = computePrefixHashes('x'.repeat(blocks * BLOCK_CHARS));
    assert.equal(this.promptHashes.length, blocks);
    const hashes = this.promptHashes.slice(0, stored);
    sendEvent(this, { targetName, sequence, startId: '1', kind: 'stored', hashes });
  },
);

When(
  'target {string} evicts other blocks as event {int}',
  function when(this: PrefixWorld, targetName: string, sequence: number) {
    sendEvent(this, { targetName, sequence, startId: '1', kind: 'evicted', hashes: ['other'] });
  },
);

When(
  'target {string} evicts block {int} of the prompt as event {int}',
  function when(this: PrefixWorld, targetName: string, block: number, sequence: number) {
    const hashes = this.promptHashes.slice(block - 1, block);
    sendEvent(this, { targetName, sequence, startId: '1', kind: 'evicted', hashes });
  },
);

When(
  'target {string} restarts and evicts other blocks as event {int}',
  function when(this: PrefixWorld, targetName: string, sequence: number) {
    sendEvent(this, { targetName, sequence, startId: '2', kind: 'evicted', hashes: ['other'] });
  },
);

When('{int} ms pass for the prefix cache tracker', function when(this: PrefixWorld, byMs: number) {
  return this.prefixClock.advance({ byMs });
});

Then(
  'the expected hit rate of the prompt is {float} on target {string} and {float} on target {string}',
  function then(this: PrefixWorld, firstRate, first: string, secondRate, second: string) {
    const { prefixCache, promptHashes: hashes } = this;
    assert.equal(prefixCache.estimateHitRate({ targetName: first, hashes }), firstRate);
    assert.equal(prefixCache.estimateHitRate({ targetName: second, hashes }), secondRate);
  },
);

Then('{int} histories of cache events give valid hit rates', (numRuns: number) => {
  const prompt = computePrefixHashes('y'.repeat(6 * BLOCK_CHARS));
  const event = fc.record({
    step: fc.integer({ min: 1, max: 3 }),
    kind: fc.constantFrom<CacheEvent['kind']>('stored', 'evicted'),
    block: fc.nat({ max: prompt.length - 1 }),
  });
  const property = fc.property(fc.array(event, { maxLength: 30 }), (events) => {
    const timer = TimerService.create({ clock: ManualClock.create({ startWallMs: 0 }) });
    const cache = PrefixCacheTracker.create({ timer });
    let sequence = 0;
    events.forEach(({ step, kind, block }) => {
      sequence += step;
      const hashes = prompt.slice(block, block + 1);
      cache.onEvent({ targetName: 't', event: { sequence, startId: '1', kind, hashes } });
    });
    const before = cache.estimateHitRate({ targetName: 't', hashes: prompt });
    assert.ok(before >= 0 && before <= 1);
    cache.onPromptRun({ targetName: 't', hashes: prompt });
    assert.equal(cache.estimateHitRate({ targetName: 't', hashes: prompt }), 1);
  });
  fc.assert(property, { numRuns, seed: 13 });
});

function sendEvent(world: PrefixWorld, opts: CacheEvent & { readonly targetName: string }): void {
  const { targetName, ...event } = opts;
  world.prefixCache.onEvent({ targetName, event });
}
