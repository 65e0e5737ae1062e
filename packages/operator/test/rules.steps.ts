import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';

import { type DataTable, Then, When } from '@cucumber/cucumber';
import {
  diffRules,
  formatProblem,
  formatRule,
  formatRules,
  type ParsedRules,
  parseRules,
  type RuleProblem,
} from '@galenatiller/operator';
import type { Rule } from '@galenatiller/types';
import fc from 'fast-check';
import type { Result } from 'true-myth';

import { validRules, arbitraryText } from './ruleArbitraries.js';

interface RulesWorld {
  parsed: Result<ParsedRules, readonly RuleProblem[]>;
  before: readonly Rule[];
  after: readonly Rule[];
}

When('the rules file {string} is parsed', async function when(this: RulesWorld, file: string) {
  this.parsed = parseRules({ text: await readFile(file, 'utf8'), fileName: file });
});

When(
  'the rules on the page {string} are parsed',
  async function when(this: RulesWorld, page: string) {
    const [, text = ''] = /```rules\n(.*?)```/s.exec(await readFile(page, 'utf8')) ?? [];
    this.parsed = parseRules({ text, fileName: page });
  },
);

When('these rule lines are parsed', function when(this: RulesWorld, text: string) {
  this.parsed = parseRules({ text, fileName: 'f' });
});

When('two organisations have the same key digest', function when(this: RulesWorld) {
  const line = (name: string): string =>
    `organisation ${name} key-sha256=${'0a'.repeat(32)} # asked by Mere\n`;
  this.parsed = parseRules({ text: line('north') + line('south'), fileName: 'f' });
});

When('the rules before a change are', function when(this: RulesWorld, text: string) {
  this.before = parseValid(text);
});

When('the rules after it are', function when(this: RulesWorld, text: string) {
  this.after = parseValid(text);
});

Then(
  'the rules file has {int} rules and no problem',
  function then(this: RulesWorld, rules: number) {
    assert.deepEqual(formatProblems(this.parsed), []);
    assert.equal(this.parsed.unwrapOr({ fileName: '', rules: [] }).rules.length, rules);
  },
);

Then(
  'formatting and parsing its rules again gives the same rules',
  function then(this: RulesWorld) {
    const { rules } = this.parsed.unwrapOr({ fileName: '', rules: [] });
    assert.deepEqual(parseValid(formatRules(rules)), rules);
  },
);

Then('the only rules problem is {string}', function then(this: RulesWorld, problem: string) {
  assert.deepEqual(formatProblems(this.parsed), [`f:${problem}`]);
});

Then('the rules problems are at', function then(this: RulesWorld, table: DataTable) {
  const positions = formatProblems(this.parsed).map((line) => /^f:(\d+:\d+):/.exec(line)?.[1]);
  assert.deepEqual(positions, table.raw().flat());
});

Then(
  'each of {int} random and corrupted rules files parses or gives problems with positions within the text',
  (runs: number) => {
    const corruptedRules = fc
      .tuple(validRules, arbitraryText, fc.nat())
      .map(([rules, inserted, offset]) => {
        const text = formatRules(rules);
        const position = offset % text.length;
        return text.slice(0, position) + inserted + text.slice(position + 1);
      });
    fc.assert(
      fc.property(fc.oneof(arbitraryText, corruptedRules), (text) => {
        const parsed = parseRules({ text, fileName: 'f' });
        const lines = text.split(/\r\n|\r|\n/);
        assert.ok(parsed.isOk || parsed.error.length > 0);
        (parsed.isErr ? parsed.error : []).forEach(({ line, column }) => {
          assert.ok(line >= 1 && column >= 1);
          assert.ok(column <= (lines[line - 1]?.length ?? 0) + 1, `${line}:${column}`);
        });
      }),
      { numRuns: runs, seed: 41 },
    );
  },
);

Then(
  'formatting and parsing each of {int} random sets of rules gives the same rules',
  (runs: number) => {
    fc.assert(
      fc.property(validRules, (rules) => {
        assert.deepEqual(parseValid(formatRules(rules)), rules);
      }),
      { numRuns: runs, seed: 42 },
    );
  },
);

Then('the rule changes are', function then(this: RulesWorld, table: DataTable) {
  const changes = diffRules({ before: this.before, after: this.after });
  const lines = changes.map((change) => [
    change.kind,
    formatRule(change.kind === 'removed' ? change.before : change.after),
  ]);
  assert.deepEqual(lines, table.raw());
});

function parseValid(text: string): readonly Rule[] {
  const parsed = parseRules({ text, fileName: 'f' });
  assert.deepEqual(formatProblems(parsed), []);
  return parsed.unwrapOr({ fileName: '', rules: [] }).rules;
}

function formatProblems(parsed: Result<ParsedRules, readonly RuleProblem[]>): readonly string[] {
  return parsed.isErr ? parsed.error.map(formatProblem) : [];
}
