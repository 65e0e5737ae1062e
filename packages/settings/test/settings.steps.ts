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
  result: Result<NodeSettings, readonly SettingsProblem[]>;
  documentedLines: string[];
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
  'a minimal valid settings file for the role {string}',
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
  'its line {string} is replaced by {string}',
  function given(this: SettingsWorld, line: string, invalid: string) {
    assert.ok(this.text.includes(line));
    this.text = this.text.replace(line, invalid.replaceAll('\\n', '\n'));
  },
);

When('the settings file is read', function when(this: SettingsWorld) {
  this.result = readNodeSettings({ role: this.role, fileName: 'node.ini', text: this.text });
});

Then('the settings are valid', function then(this: SettingsWorld) {
  assert.deepEqual(renderProblems(this.result), []);
});

Then(
  'the setting {string} is {int}',
  function then(this: SettingsWorld, field: string, value: number) {
    assert.ok(this.result.isOk);
    assert.equal(Object.entries(this.result.value).find(([name]) => name === field)?.[1], value);
  },
);

Then(
  'the gate has the target {string} of kind {string} with {int} concurrent requests',
  function then(this: SettingsWorld, name: string, kind: string, inFlightLimit: number) {
    assert.ok(this.result.isOk && this.result.value.role === 'gate');
    const [target] = this.result.value.targets;
    assert.deepEqual([target?.name, target?.kind], [name, kind]);
    assert.equal(target?.inFlightLimit, inFlightLimit);
  },
);

Then('the only settings problem is {}', function then(this: SettingsWorld, quoted: string) {
  assert.deepEqual(renderProblems(this.result), [quoted.slice(1, -1)]);
});

Then('{int} settings problems are reported', function then(this: SettingsWorld, count: number) {
  assert.equal(renderProblems(this.result).length, count, renderProblems(this.result).join('\n'));
});

Given('any settings file with a key anywhere in its text', () => {});

Then('no settings problem contains 16 consecutive digits of that key', () => {
  const anyIndex = fc.nat(COMMON_TEXT.length);
  fc.assert(
    fc.property(anyIndex, fc.constantFrom('', '\n', '\n[', ' = '), (index, before) => {
      const text = `${COMMON_TEXT.slice(0, index)}${before}${SECRET}${COMMON_TEXT.slice(index)}`;
      const printed = renderProblems(readNodeSettings({ role: 'entry', fileName: 'f', text })).join(
        '\n',
      );
      assert.ok(!/[0-9a-f]{16}/.test(printed), printed);
    }),
    PROPERTY,
  );
});

Given('any settings file of arbitrary lines', () => {});

Then('reading it gives settings or problems', () => {
  const anyText = fc.oneof(
    fc.string(),
    fc.constantFrom('[node]', '[target.a', '__proto__', "'null'", '=', '[]', '.', ']', '"', '\n'),
    fc.constantFrom(...COMMON_TEXT.split('\n')),
  );
  fc.assert(
    fc.property(
      fc.array(anyText, { size: 'large' }),
      fc.constantFrom('', '\n'),
      (texts, separator) => {
        const text = texts.join(separator);
        ['entry' as const, 'gate' as const].forEach((role) => {
          renderProblems(readNodeSettings({ role, fileName: 'f', text }));
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

When('the documented table of settings is read', async function when(this: SettingsWorld) {
  const page = await readFile('docs/operators/settings.md', 'utf8');
  this.documentedLines = page.split('\n').map((line) => line.replace(/\s*\|\s*/g, '|'));
});

Then('it has a row for each setting', function then(this: SettingsWorld) {
  const rows = [
    ...renderRows('both', COMMON_KEYS),
    ...renderRows('entry', ENTRY_KEYS),
    ...renderRows('gate', TARGET_KEYS),
  ];
  assert.deepEqual(this.documentedLines.filter((line) => line.startsWith('|')).slice(2), rows);
});

function renderProblems(
  result: Result<NodeSettings, readonly SettingsProblem[]>,
): readonly string[] {
  return result.isErr ? result.error.map(renderSettingsProblem) : [];
}

function renderRows(role: string, table: KeyTable): readonly string[] {
  return Object.values(table).map((settingKey) => {
    const defaultValue =
      settingKey.defaultText === '' ? 'empty' : (settingKey.defaultText ?? 'required');
    return `|${settingKey.section}|${settingKey.key}|${role}|${settingKey.unit}|${defaultValue}|${settingKey.bounds}|${settingKey.meaning}|`;
  });
}
