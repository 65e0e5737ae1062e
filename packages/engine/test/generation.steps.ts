import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { runGeneration } from '@galenatiller/engine';
import type { GalenatillerError } from '@galenatiller/error';
import {
  createFakeEngine,
  computeExpectedCompletion,
  type FakeTarget,
  type FaultCommand,
  createSampleStageRequest,
} from '@galenatiller/fakes';
import { systemClock, TimerService } from '@galenatiller/timer';
import type { StagePart, StageResult } from '@galenatiller/types';
import type { Result } from 'true-myth';

import { readEventData } from '../src/wireEvents.js';

interface GenerationWorld {
  endlessEvents: AsyncGenerator<string, void, void>;
  engineTimer: TimerService;
  fakeEngine: FakeTarget;
  generationPrompt: string;
  generationPrefix: string;
  generationParts: StagePart[];
  generationResult: Result<StageResult, GalenatillerError>;
}

interface GenerateOptions {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly deliveredTokens: number;
  readonly cancelsAfterFirstPart: boolean;
}

Given('a fake engine that generation tests use', async function given(this: GenerationWorld) {
  this.engineTimer = TimerService.create({ clock: systemClock });
  this.fakeEngine = await createFakeEngine({
    timer: this.engineTimer,
    port: 0,
    seed: 1,
    restartMs: 1,
    version: 'v1',
    speed: { baseMsPerToken: 1, slopeMsPerToken: 0, capacity: 4 },
  });
});

After({ tags: '@engine' }, function after(this: Partial<GenerationWorld>) {
  return this.fakeEngine?.close();
});

Given('the engine has the fault {string}', function given(this: GenerationWorld, fault: string) {
  this.fakeEngine.faults.apply(JSON.parse(fault) as FaultCommand);
});

Given('the fake engine of the generation tests is closed', function given(this: GenerationWorld) {
  return this.fakeEngine.close();
});

When(
  'the engine generates {int} tokens for {string}',
  function when(this: GenerationWorld, maxTokens: number, prompt: string) {
    return generate(this, { prompt, maxTokens, deliveredTokens: 0, cancelsAfterFirstPart: false });
  },
);

When(
  'the engine generates {int} tokens for {string} after {int} delivered tokens',
  function when(this: GenerationWorld, maxTokens: number, prompt: string, deliveredTokens: number) {
    return generate(this, { prompt, maxTokens, deliveredTokens, cancelsAfterFirstPart: false });
  },
);

When(
  'the generation of {int} tokens for {string} is cancelled after the first part',
  function when(this: GenerationWorld, maxTokens: number, prompt: string) {
    return generate(this, { prompt, maxTokens, deliveredTokens: 0, cancelsAfterFirstPart: true });
  },
);

Then(
  'the engine response is complete with {int} tokens',
  function then(this: GenerationWorld, tokens: number) {
    const text = this.generationParts.map((part) => part.text).join('');
    assert.equal(
      this.generationPrefix + text,
      computeExpectedCompletion(this.generationPrompt, tokens),
    );
    assert.deepEqual(this.generationResult.unwrapOr(undefined), {
      kind: 'generate',
      tokens,
      finishReason: 'length',
    });
  },
);

Then(
  'the generation fails as {string} with outcome {string}',
  function then(this: GenerationWorld, codeName: string, outcome: string) {
    assert.ok(this.generationResult.isErr);
    assert.equal(this.generationResult.error.codeName, codeName);
    assert.equal(this.generationResult.error.outcome, outcome);
  },
);

Then(
  '{int} tokens of the engine response have arrived',
  function then(this: GenerationWorld, tokens: number) {
    assert.equal(this.generationParts.length, tokens);
  },
);

Then('the engine has started {int} runs', function then(this: GenerationWorld, runs: number) {
  assert.equal(this.fakeEngine.ledger.runs.length, runs);
});

Then(
  'the run at the engine ends as {string}',
  async function then(this: GenerationWorld, how: string) {
    while (!this.fakeEngine.ledger.runs[0]?.ended) {
      await this.engineTimer.sleep({ delayMs: 1 });
    }
    assert.equal(this.fakeEngine.ledger.runs[0].ended.how, how);
  },
);

async function generate(world: GenerationWorld, opts: GenerateOptions): Promise<void> {
  const cancellation = new AbortController();
  const parts: StagePart[] = [];
  const prefix = computeExpectedCompletion(opts.prompt, opts.deliveredTokens);
  const result = await runGeneration({
    url: world.fakeEngine.url,
    order: createSampleStageRequest({
      kind: 'generate',
      prompt: opts.prompt,
      maxTokens: opts.maxTokens,
      deliveredText: prefix,
      deliveredTokens: opts.deliveredTokens,
    }),
    signal: cancellation.signal,
    onPart: (part) => {
      parts.push(part);
      if (opts.cancelsAfterFirstPart) {
        cancellation.abort();
      }
    },
  });
  Object.assign(world, {
    generationPrompt: opts.prompt,
    generationPrefix: prefix,
    generationParts: parts,
    generationResult: result,
  });
}

When(
  'an engine sends {int} MB of an event',
  function when(this: GenerationWorld, megabytes: number) {
    async function* createBody(): AsyncGenerator<Uint8Array> {
      yield Buffer.from('data: ');
      for (let sent = 0; sent < megabytes * 16; sent += 1) {
        yield Buffer.alloc(65_536, 'x');
      }
    }
    this.endlessEvents = readEventData(createBody());
  },
);

Then('reading the events fails', async function then(this: GenerationWorld) {
  await assert.rejects(this.endlessEvents.next());
});
