import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';

import { After, Given, setDefaultTimeout, Then, When } from '@cucumber/cucumber';
import { indexRules } from '@galenatiller/configuration';
import {
  createFakeEngine,
  createFakePool,
  createFakeService,
  computeExpectedCompletion,
  computeExpectedPassages,
  computeExpectedScore,
  type FakeTarget,
} from '@galenatiller/fakes';
import { parseRules } from '@galenatiller/operator';
import type { Host, Passage } from '@galenatiller/types';
import { type Dispatcher, request } from 'undici';

import {
  type EndToEndDeployment,
  startEntry,
  startGate,
  timer,
} from './support/endToEndDeployment.js';

interface EndToEndWorld extends EndToEndDeployment {
  entryPort: number;
  prompt: string;
  route: string;
  status: number;
  text: string;
  problem: { code: number; outcome: string };
}

setDefaultTimeout(20_000);

/** Number of tokens of the stage `draft`, and of passages that retrieval returns. */
const DRAFT_TOKENS = 256;
const MAX_PASSAGES = 8;

const fakeOptions = { timer, port: 0, seed: 1, restartMs: 50, version: 'v1' };
const engineSpeed = { baseMsPerToken: 1, slopeMsPerToken: 0.1, capacity: 16 };
const workerOptions = { serviceMs: 1, concurrency: 16 };

Given(
  'an entry, a gate and fake targets with the rules {string}',
  async function given(this: EndToEndWorld, fileName: string) {
    const text = await readFile(fileName, 'utf8');
    const { rules } = parseRules({ text, fileName }).unwrapOrElse((problems) =>
      assert.fail(JSON.stringify(problems)),
    );
    const configuration = indexRules({ revision: 1, rules });
    this.engines = [
      await createFakeEngine({ ...fakeOptions, speed: engineSpeed }),
      await createFakeEngine({ ...fakeOptions, speed: engineSpeed }),
    ];
    this.pools = [await createFakePool({ ...fakeOptions, ...workerOptions })];
    this.floorService = await createFakeService({ ...fakeOptions, ...workerOptions });
    this.stopEntry = new AbortController();
    this.stopGate = new AbortController();
    const linkPort = await startGate(this, configuration);
    const host: Host = {
      name: 'gate-1',
      address: '127.0.0.1',
      port: linkPort,
      operatorPort: 0,
      role: 'gate',
      availabilityZone: 'north-a',
      state: 'live',
    };
    this.entryPort = await startEntry(this, configuration, [host]);
    await waitUntilReady(this.entryPort);
  },
);

Given(
  'the first engine breaks each stream after {int} tokens',
  function given(this: EndToEndWorld, afterTokens: number) {
    this.engines[0]?.faults.apply({ kind: 'break', afterTokens, share: 1 });
  },
);

When(
  '{string} streams route {string} with prompt {string}',
  function when(this: EndToEndWorld, organisation: string, route: string, prompt: string) {
    return streamCompletion(this, { organisation, route, prompt });
  },
);

When(
  '{string} streams route {string} with prompt {string} while the entry shuts down',
  async function when(this: EndToEndWorld, organisation: string, route: string, prompt: string) {
    const streamed = streamCompletion(this, { organisation, route, prompt });
    await waitUntilRunning(this.engines);
    this.stopEntry.abort();
    await streamed;
  },
);

When(
  '{string} calls route {string} with prompt {string}',
  async function when(this: EndToEndWorld, organisation: string, route: string, prompt: string) {
    this.prompt = prompt;
    this.route = route;
    await readResponse(this, await sendRequest(this, { organisation, route, body: { prompt } }));
  },
);

When(
  '{string} calls route {string} with key {string}',
  async function when(this: EndToEndWorld, organisation: string, route: string, runKey: string) {
    const body = { body: { batch: 7 } };
    await readResponse(this, await sendRequest(this, { organisation, route, runKey, body }));
  },
);

When(
  '{string} calls route {string} without a key',
  async function when(this: EndToEndWorld, organisation: string, route: string) {
    await readResponse(
      this,
      await sendRequest(this, { organisation, route, body: { body: { batch: 7 } } }),
    );
  },
);

Then(
  'the streamed text is the complete response of the engine',
  function then(this: EndToEndWorld) {
    assert.equal(this.text, computeExpectedText(this));
  },
);

Then(
  'the response text is the complete response of the engine',
  function then(this: EndToEndWorld) {
    assert.equal(this.text, computeExpectedText(this));
  },
);

Then(
  'the targets ran the stages encode, retrieve, rerank and generate once each',
  function then(this: EndToEndWorld) {
    const runs = [...this.pools, ...this.engines].flatMap((target) => target.ledger.runs);
    assert.deepEqual(
      runs.map((run) => [run.stageIndex, run.attempt]),
      [0, 1, 2, 3].map((stageIndex) => [stageIndex, 0]),
    );
    assert.equal(new Set(runs.map((run) => run.requestId)).size, 1);
  },
);

Then('the call is answered', function then(this: EndToEndWorld) {
  assert.equal(this.status, 200);
});

Then(/^the floor service shows (\d+) effects?$/, function then(this: EndToEndWorld, count: string) {
  assert.equal(this.floorService.effects.length, Number(count));
});

Then(
  'the call is refused with code {int} and outcome {string}',
  function then(this: EndToEndWorld, code: number, outcome: string) {
    assert.deepEqual([this.problem.code, this.problem.outcome], [code, outcome]);
  },
);

Then('the entry has stopped', function then(this: EndToEndWorld) {
  return this.entryEnd;
});

After({ tags: '@features' }, async function after(this: EndToEndWorld) {
  if (!this.stopEntry) {
    return;
  }
  this.stopEntry.abort();
  this.stopGate.abort();
  await Promise.all([this.entryEnd, this.gateEnd]);
  await Promise.all(
    [...this.engines, ...this.pools, this.floorService].map((target) => target.close()),
  );
});

interface SendOptions {
  readonly organisation: string;
  readonly route: string;
  readonly runKey?: string;
  readonly body: object;
}

function sendRequest(world: EndToEndWorld, opts: SendOptions): Promise<Dispatcher.ResponseData> {
  return request(`http://127.0.0.1:${world.entryPort}/v1/routes/${opts.route}`, {
    method: 'POST',
    body: JSON.stringify(opts.body),
    headers: {
      authorization: `Bearer example-key-${opts.organisation}`,
      connection: 'close',
      ...(opts.runKey ? { 'idempotency-key': opts.runKey } : {}),
    },
  });
}

async function streamCompletion(
  world: EndToEndWorld,
  opts: { organisation: string; route: string; prompt: string },
): Promise<void> {
  world.prompt = opts.prompt;
  world.route = opts.route;
  const response = await sendRequest(world, {
    ...opts,
    body: { prompt: opts.prompt, stream: true },
  });
  const events = (await response.body.text()).split('\n\n').filter((event) => event !== '');
  assert.equal(events.at(-1), 'data: [DONE]');
  world.text = events
    .slice(0, -1)
    .map((event) => JSON.parse(event.replace('data: ', '')) as Completion)
    .map((completion) => completion.choices[0]?.text ?? '')
    .join('');
}

interface Completion {
  readonly choices: readonly { readonly text: string }[];
}

async function readResponse(
  world: EndToEndWorld,
  response: Dispatcher.ResponseData,
): Promise<void> {
  world.status = response.statusCode;
  const body = (await response.body.json()) as Completion & EndToEndWorld['problem'];
  world.problem = body;
  world.text = body.choices?.[0]?.text ?? '';
}

/** The responses of the fakes are pure functions of the prompt, so the complete text is known. */
function computeExpectedText(world: EndToEndWorld): string {
  const passages = world.route === 'job-dossier' ? computeRankedPassages(world.prompt) : [];
  const lines = passages.map((passage) => `[${passage.id}] ${passage.text}\n`);
  return computeExpectedCompletion(`${lines.join('')}${world.prompt}`, DRAFT_TOKENS);
}

function computeRankedPassages(query: string): readonly Passage[] {
  return computeExpectedPassages(query, MAX_PASSAGES)
    .map((passage) => ({ ...passage, score: computeExpectedScore(query, passage.text) }))
    .sort((left, right) => right.score - left.score);
}

async function waitUntilReady(port: number): Promise<void> {
  const { statusCode, body } = await request(`http://127.0.0.1:${port}/readyz`, {
    headers: { connection: 'close' },
  });
  await body.dump();
  if (statusCode !== 200) {
    await timer.sleep({ delayMs: 10 });
    await waitUntilReady(port);
  }
}

async function waitUntilRunning(engines: readonly FakeTarget[]): Promise<void> {
  while (engines.every((engine) => engine.ledger.runs.length === 0)) {
    await timer.sleep({ delayMs: 5 });
  }
}
