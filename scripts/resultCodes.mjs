/** Writes docs/RESULT-CODES.md from the table in packages/error. */
import { writeFileSync } from 'node:fs';

import { RESULT_CODES } from '@galenatiller/error';

const rows = RESULT_CODES.map(
  (row) =>
    `| ${row.code} | ${row.name} | ${row.outcome} | ${row.httpStatus} | ${row.meaning} | ${row.hint} |`,
);
const page = [
  '# Result codes',
  '',
  'Every refusal and error carries one of these numbers. Thousands group them: 1 caller, 2 capacity,',
  '3 target, 4 store, 5 rules, 6 settings, 7 link between nodes, 9 internal. The outcome is what the',
  'code proves by itself; a refusal states its own outcome, which may prove more. The command line',
  'exits with the thousands digit. `node scripts/resultCodes.mjs` writes this page.',
  '',
  '| code | name | outcome | HTTP status | meaning | what to do |',
  '| --- | --- | --- | --- | --- | --- |',
  ...rows,
  '',
];
writeFileSync('docs/RESULT-CODES.md', page.join('\n'));
