/** Generates docs/RESULT-CODES.md from the table in packages/error. */
import { writeFileSync } from 'node:fs';

import { RESULT_CODES } from '@galenatiller/error';

const rows = RESULT_CODES.map(
  (row) =>
    `| ${row.code} | ${row.name} | ${row.outcome} | ${row.httpStatus} | ${row.meaning} | ${row.hint} |`,
);
const page = [
  '# Result codes',
  '',
  'Every refusal and error has one of these codes. The thousands digit is the category: 1 caller,',
  '2 capacity, 3 target, 4 store, 5 rules, 6 settings, 7 link between nodes, 9 internal. The outcome',
  'is what the code alone guarantees; a refusal has its own outcome, which can be more specific. The',
  'command line exits with the thousands digit. `node scripts/resultCodes.mjs` generates this page.',
  '',
  'The HTTP status is that of the outcome in the table. 408, 421, 429 and 503 promise that the request has',
  'not run: a refusal with another outcome than `not-run` has 502 in their place.',
  '',
  '| code | name | outcome | HTTP status | meaning | what to do |',
  '| --- | --- | --- | --- | --- | --- |',
  ...rows,
  '',
];
writeFileSync('docs/RESULT-CODES.md', page.join('\n'));
