import assert from 'node:assert/strict';

import { After, Before, type DataTable, Given, Then, When } from '@cucumber/cucumber';
import { runCli } from '@galenatiller/cli';
import type { ResultCodeName } from '@galenatiller/error';
import type { TimelineEventKind } from '@galenatiller/types';

import {
  createMemoryPlatform,
  type MemoryNode,
  type MemoryPlatform,
  parseValidRules,
  formatStoredRules,
} from './memoryPlatform.js';

interface CliWorld {
  platform: MemoryPlatform;
  files: Map<string, string>;
  output: string;
  allOutput: string;
  exitCode: number;
  connectionCount: number;
}

const OPERATOR_KEY = 'c0ffee'.repeat(12);
const SETTINGS = `[cli]\nstore-url = http://127.0.0.1:1\nhost-list-url = http://127.0.0.1:2\nauthor = Mere\n`;
const STEP_MS = 100;

Before({ tags: '@operator-cli' }, function before(this: CliWorld) {
  this.files = new Map([
    ['galenatiller.ini', `${SETTINGS}operator-key = ${OPERATOR_KEY}\n`],
    ['bad.ini', `${SETTINGS}operator-key = ${OPERATOR_KEY}zz\n`],
  ]);
  this.allOutput = '';
  this.connectionCount = 0;
});

After({ tags: '@operator-cli' }, function after(this: CliWorld) {
  assert.ok(!this.allOutput.toLowerCase().includes(OPERATOR_KEY.slice(0, 12)), 'a key was printed');
  assert.ok(
    !this.allOutput.includes('\u001b'),
    'colours were printed although the output is not a terminal',
  );
});

Given(
  'a platform with nodes {string} and these accepted rules',
  function given(this: CliWorld, names: string, text: string) {
    this.platform = createMemoryPlatform(names.split(', '));
    this.platform.stored = { ...this.platform.stored, rules: parseValidRules(text) };
  },
);

Given("an operators' file {string}", function given(this: CliWorld, name: string, text: string) {
  this.files.set(name, text);
});

Given(
  "an operators' file {string} with the accepted rules",
  function given(this: CliWorld, name: string) {
    this.files.set(name, formatStoredRules(this.platform));
  },
);

Given(
  "an operators' file {string} with the accepted rules except {string} and with {string}",
  function given(this: CliWorld, name: string, dropped: string, added: string) {
    const droppedKinds = dropped.split(', ');
    const lines = formatStoredRules(this.platform).split('\n');
    const kept = lines.filter((line) => !droppedKinds.includes(line.split(' ')[0] ?? ''));
    this.files.set(name, [...kept, added.replace('{ESC}', '\u001b')].join('\n'));
  },
);

Given(
  'node {string} does not update and node {string} fails with {string}',
  function given(this: CliWorld, outdated: string, failing: string, code: ResultCodeName) {
    findNode(this, outdated).isStuck = true;
    findNode(this, failing).failureCode = code;
  },
);

Given(
  'node {string} does not update and is draining',
  function given(this: CliWorld, name: string) {
    Object.assign(findNode(this, name), { isStuck: true, draining: true });
  },
);

Given(
  '{string} publishes revision {int} just before the operator does',
  function given(this: CliWorld, author: string, revision: number, text: string) {
    this.platform.concurrentChange = { author, revision, rules: parseValidRules(text) };
  },
);

Given(
  'the store fails for operators with {string}',
  function given(this: CliWorld, code: ResultCodeName) {
    this.platform.storeFailureCode = code;
  },
);

Given('the host list does not respond to operators', function given(this: CliWorld) {
  this.platform.isHostListDown = true;
});

Given(
  'node {string} has stopped the move of {word} from {word} to {word}',
  function given(this: CliWorld, name: string, targetGroup: string, from: string, to: string) {
    const reason = `fails more often than ${from}`;
    const versions = { targetGroup, fromVersion: from, toVersion: to };
    findNode(this, name).moves = [{ ...versions, state: 'stopped', share: 0, reason }];
  },
);

Given('these events at nodes', function given(this: CliWorld, table: DataTable) {
  table.hashes().forEach((row) => recordEvent(this, row));
});

When('the operator runs {string}', async function when(this: CliWorld, line: string) {
  await run(this, line);
});

When(
  'the operator follows the timeline and node {string} records {string} later',
  async function when(this: CliWorld, name: string, kind: string) {
    await run(this, 'timeline --follow', async (stop) => {
      recordEvent(this, { node: name, at: '9000', kind, request: '', subject: 't-9' });
      await this.platform.clock.advance({ byMs: 3_000 });
      stop();
    });
  },
);

Then('galenatiller exits with {int}', function then(this: CliWorld, exitCode: number) {
  assert.equal(this.exitCode, exitCode, this.output);
});

Then('galenatiller prints {string}', function then(this: CliWorld, text: string) {
  assert.ok(this.output.includes(text), this.output);
});

Then('galenatiller prints exactly {string}', function then(this: CliWorld, text: string) {
  assert.equal(this.output, `${text}\n`);
});

Then(
  'galenatiller prints {string} with double quotes',
  function then(this: CliWorld, text: string) {
    assert.ok(this.output.includes(text.replaceAll("'", '"')), this.output);
  },
);

Then(
  'galenatiller prints {string} {int} times',
  function then(this: CliWorld, text: string, times: number) {
    assert.equal(this.output.split(text).length - 1, times, this.output);
  },
);

Then('galenatiller does not print {string}', function then(this: CliWorld, text: string) {
  assert.ok(!this.output.includes(text), this.output);
});

Then(
  'the output lines have in order {string}, {string}, {string}',
  function then(this: CliWorld, first: string, second: string, third: string) {
    const offsets = [first, second, third].map((text) => this.output.indexOf(text));
    assert.ok(!offsets.includes(-1), this.output);
    assert.deepEqual(
      offsets,
      [...offsets].sort((left, right) => left - right),
    );
  },
);

Then('the platform was not connected', function then(this: CliWorld) {
  assert.equal(this.connectionCount, 0);
});

Then(
  'the accepted revision is {int} by {string}',
  function then(this: CliWorld, revision: number, author: string) {
    assert.equal(this.platform.stored.revision, revision);
    assert.equal(this.platform.stored.author, author);
  },
);

Then('the accepted rules have the line {string}', function then(this: CliWorld, line: string) {
  assert.ok(
    formatStoredRules(this.platform).split('\n').includes(line),
    formatStoredRules(this.platform),
  );
});

Then(
  'each output line is a JSON document with {string}',
  function then(this: CliWorld, field: string) {
    const documents = this.output
      .split('\n')
      .filter((line) => line.startsWith('{'))
      .map((line) => JSON.parse(line) as object);
    assert.ok(documents.length > 0 && documents.every((each) => field in each), this.output);
  },
);

async function run(
  world: CliWorld,
  line: string,
  whileRunning?: (stop: () => void) => Promise<void>,
): Promise<void> {
  const { platform } = world;
  const stop = new AbortController();
  const output: string[] = [];
  const write = (text: string): void => {
    output.push(text);
  };
  let isRunning = true;
  const exit = runCli({
    args: line.split(' '),
    writeOut: write,
    writeError: write,
    readText: async (name) => world.files.get(name) ?? Promise.reject(new Error('no such file')),
    connect: () => {
      world.connectionCount += 1;
      return { platform, close: async () => {} };
    },
    hasColours: false,
    stop: stop.signal,
  }).finally(() => {
    isRunning = false;
  });
  await whileRunning?.(() => stop.abort());
  while (isRunning) {
    await platform.clock.advance({ byMs: STEP_MS });
  }
  world.exitCode = await exit;
  world.output = output.join('');
  world.allOutput += world.output;
}

function findNode(world: CliWorld, name: string): MemoryNode {
  const found = world.platform.nodes.find(({ host }) => host.name === name);
  assert.ok(found, name);
  return found;
}

function recordEvent(world: CliWorld, row: Record<string, string>): void {
  findNode(world, row.node ?? '').events.push({
    stamp: { wallMs: Number(row.at), counter: 0 },
    nodeName: row.node ?? '',
    kind: row.kind as TimelineEventKind,
    requestId: row.request ?? '',
    subject: row.subject ?? '',
    detail: '',
  });
}
