import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';

import { Given, Then, When } from '@cucumber/cucumber';
import {
  COMMON_KEYS,
  ENTRY_KEYS,
  type KeyTable,
  type NodeSettings,
  readNodeSettings,
  renderSettingsProblem,
  type SettingsProblem,
  TARGET_KEYS,
} from '@galenatiller/settings';
import type { NodeRole } from '@galenatiller/types';
import fc from 'fast-check';
import type { Result } from 'true-myth';

interface SettingsWorld {
  role: NodeRole;
  text: string;
  read: Result<NodeSettings, readonly SettingsProblem[]>;
  page: string[];
}

const SECRET = '0123456789abcdef'.repeat(4);
const COMMON_TEXT = `[node]
name = a
availability-zone = z1
stop-limit-ms = 30000
[link]
keys = ${SECRET}
[operator]
keys = ${SECRET}, ${SECRET}
[platform]
store-url = http://127.0.0.1:2379
host-list-url = http://127.0.0.1:2380
`;
const TARGET_TEXT = `[target.writer.1]
group = writers
kind = engine
url = http://127.0.0.1:8000
`;
const PROPERTY = { seed: 20261204, numRuns: 400 };

Given(
  'a settings file with the shortest right text for the role {string}',
  function given(this: SettingsWorld, role: NodeRole) {
    this.role = role;
    this.text = role === 'gate' ? COMMON_TEXT + TARGET_TEXT : COMMON_TEXT;
  },
);

Given('a settings file with the text {string}', function given(this: SettingsWorld, text: string) {
  this.role = 'entry';
  this.text = text.replaceAll('\\n', '\n');
});

Given(
  'its line {string} becomes {string}',
  function given(this: SettingsWorld, line: string, wrong: string) {
    assert.ok(this.text.includes(line));
    this.text = this.text.replace(line, wrong.replaceAll('\\n', '\n'));
  },
);

When('the settings file is read', function when(this: SettingsWorld) {
  this.read = readNodeSettings({ role: this.role, fileName: 'node.ini', text: this.text });
});

Then('the settings are right', function then(this: SettingsWorld) {
  assert.deepEqual(linesOf(this.read), []);
});

Then(
  'the setting {string} is {int}',
  function then(this: SettingsWorld, field: string, value: number) {
    assert.ok(this.read.isOk);
    assert.equal(Object.entries(this.read.value).find(([name]) => name === field)?.[1], value);
  },
);

Then(
  'the gate has the target {string} of kind {string} with {int} requests at once',
  function then(this: SettingsWorld, name: string, kind: string, inFlightLimit: number) {
    assert.ok(this.read.isOk && this.read.value.role === 'gate');
    const [target] = this.read.value.targets;
    assert.deepEqual([target?.name, target?.kind], [name, kind]);
    assert.equal(target?.inFlightLimit, inFlightLimit);
  },
);

Then('the only settings problem is {}', function then(this: SettingsWorld, quoted: string) {
  assert.deepEqual(linesOf(this.read), [quoted.slice(1, -1)]);
});

Then('{int} settings problems are said', function then(this: SettingsWorld, count: number) {
  assert.equal(linesOf(this.read).length, count, linesOf(this.read).join('\n'));
});

Given('any settings file with a key anywhere in its text', () => {});

Then('no settings problem holds 16 digits of that key in a row', () => {
  const anyIndex = fc.nat(COMMON_TEXT.length);
  fc.assert(
    fc.property(anyIndex, fc.constantFrom('', '\n', '\n[', ' = '), (index, before) => {
      const text = `${COMMON_TEXT.slice(0, index)}${before}${SECRET}${COMMON_TEXT.slice(index)}`;
      const said = linesOf(readNodeSettings({ role: 'entry', fileName: 'f', text })).join('\n');
      assert.ok(!/[0-9a-f]{16}/.test(said), said);
    }),
    PROPERTY,
  );
});

Given('any settings file of arbitrary lines', () => {});

Then('it is read as settings or as problems', () => {
  const anyPiece = fc.oneof(
    fc.string(),
    fc.constantFrom('[node]', '[target.a', '__proto__', "'null'", '=', '[]', '.', ']', '"', '\n'),
    fc.constantFrom(...COMMON_TEXT.split('\n')),
  );
  fc.assert(
    fc.property(
      fc.array(anyPiece, { size: 'large' }),
      fc.constantFrom('', '\n'),
      (pieces, glue) => {
        const text = pieces.join(glue);
        ['entry' as const, 'gate' as const].forEach((role) => {
          linesOf(readNodeSettings({ role, fileName: 'f', text }));
        });
      },
    ),
    {
      ...PROPERTY,
      examples: [
        [["'null' = 1"], '\n'],
        [['['.repeat(9), 'a.'.repeat(9_999), ']'], ''],
      ],
    },
  );
});

When('the page of settings is read', async function when(this: SettingsWorld) {
  const page = await readFile('docs/operators/settings.md', 'utf8');
  this.page = page.split('\n').map((line) => line.replace(/\s*\|\s*/g, '|'));
});

Then('it has a row for each setting', function then(this: SettingsWorld) {
  const rows = [
    ...rowsOf('both', COMMON_KEYS),
    ...rowsOf('entry', ENTRY_KEYS),
    ...rowsOf('gate', TARGET_KEYS),
  ];
  assert.deepEqual(this.page.filter((line) => line.startsWith('|')).slice(2), rows);
});

function linesOf(read: Result<NodeSettings, readonly SettingsProblem[]>): readonly string[] {
  return read.isErr ? read.error.map(renderSettingsProblem) : [];
}

function rowsOf(role: string, table: KeyTable): readonly string[] {
  return Object.values(table).map((row) => {
    const shown = row.defaultText === '' ? 'empty' : (row.defaultText ?? 'required');
    return `|${row.section}|${row.key}|${role}|${row.unit}|${shown}|${row.bounds}|${row.meaning}|`;
  });
}
