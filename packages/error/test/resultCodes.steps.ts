import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';

import { Then, When } from '@cucumber/cucumber';
import { RESULT_CODES } from '@galenatiller/error';

interface ResultCodesWorld {
  table: string[];
}

When('the documented table of result codes is read', async function when(this: ResultCodesWorld) {
  const page = await readFile('docs/RESULT-CODES.md', 'utf8');
  this.table = page
    .split('\n')
    .filter((line) => /^\|\s*\d+\s*\|/.test(line))
    .map((line) => line.replace(/\s*\|\s*/g, '|'));
});

Then('it has the same rows as the code', function then(this: ResultCodesWorld) {
  const rows = RESULT_CODES.map(
    (definition) =>
      `|${definition.code}|${definition.name}|${definition.outcome}|${definition.httpStatus}|${definition.meaning}|${definition.hint}|`,
  );
  assert.deepEqual(this.table, rows);
});

Then('no two result codes share a number or a name', () => {
  assert.equal(
    new Set(RESULT_CODES.map((definition) => definition.code)).size,
    RESULT_CODES.length,
  );
  assert.equal(
    new Set(RESULT_CODES.map((definition) => definition.name)).size,
    RESULT_CODES.length,
  );
});
