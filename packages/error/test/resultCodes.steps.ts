import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';

import { Then, When } from '@cucumber/cucumber';
import { createProblemDetails, GalenatillerError, RESULT_CODES } from '@galenatiller/error';
import type { Outcome } from '@galenatiller/types';

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

Then('errors of any code that may have run have none of the statuses 408, 421, 429 and 503', () => {
  const statuses = RESULT_CODES.map(({ name }) => findStatus(name, 'may-have-run'));
  assert.deepEqual(
    statuses.filter((status) => [408, 421, 429, 503].includes(status)),
    [],
  );
});

Then('the status of a code is kept where its outcome is known to be not-run', () => {
  assert.deepEqual(
    RESULT_CODES.map(({ name }) => findStatus(name, 'not-run')),
    RESULT_CODES.map(({ httpStatus }) => httpStatus),
  );
});

function findStatus(name: (typeof RESULT_CODES)[number]['name'], outcome: Outcome): number {
  return createProblemDetails(GalenatillerError.create({ name, detail: '', outcome })).status;
}
