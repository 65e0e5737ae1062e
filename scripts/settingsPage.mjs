/** Writes docs/operators/settings.md from the tables in packages/settings. */
import { mkdirSync, writeFileSync } from 'node:fs';

import { COMMON_KEYS, ENTRY_KEYS, TARGET_KEYS } from '@galenatiller/settings';

const rowsOf = (role, table) =>
  Object.values(table).map(
    ({ section, key, unit, defaultText, bounds, meaning }) =>
      `| ${section} | ${key} | ${role} | ${unit} | ${defaultText === undefined ? 'required' : defaultText || 'empty'} | ${bounds} | ${meaning} |`,
  );
const page = [
  '# Settings',
  '',
  'A node reads one INI file: `galenatillerd entry|gate --settings FILE.ini`. `--check` says every',
  'problem of the file with its line, section, key, what was found and what was expected, and exits',
  'with 6 when there is one. Keys are never printed. A gate has one section `[target.NAME]` for each',
  'of its targets. A value that holds `;` or `#` stands in double quotes.',
  '`node scripts/settingsPage.mjs` writes this page.',
  '',
  '| section | key | role | value | default | bounds | meaning |',
  '| --- | --- | --- | --- | --- | --- | --- |',
  ...rowsOf('both', COMMON_KEYS),
  ...rowsOf('entry', ENTRY_KEYS),
  ...rowsOf('gate', TARGET_KEYS),
  '',
];
mkdirSync('docs/operators', { recursive: true });
writeFileSync('docs/operators/settings.md', page.join('\n'));
