/** Generates docs/operators/settings.md from the tables in packages/settings. */
import { mkdirSync, writeFileSync } from 'node:fs';

import { COMMON_KEYS, ENTRY_KEYS, TARGET_KEYS } from '@galenatiller/settings';

const renderRows = (role, table) =>
  Object.values(table).map(
    ({ section, key, unit, defaultText, bounds, meaning }) =>
      `| ${section} | ${key} | ${role} | ${unit} | ${defaultText === undefined ? 'required' : defaultText || 'empty'} | ${bounds} | ${meaning} |`,
  );
const page = [
  '# Settings',
  '',
  'A node reads one INI file: `galenatillerd entry|gate --settings FILE.ini`. `--check` prints',
  'every problem of the file with its line, section, key, actual and expected value, and exits with 6',
  'if there is one. Values of `keys` are never printed. A gate has a section `[target.NAME]` for each',
  'of its targets. A value with `;` or `#` must be in double quotes.',
  '`node scripts/settingsPage.mjs` generates this page.',
  '',
  '| section | key | role | value | default | bounds | meaning |',
  '| --- | --- | --- | --- | --- | --- | --- |',
  ...renderRows('both', COMMON_KEYS),
  ...renderRows('entry', ENTRY_KEYS),
  ...renderRows('gate', TARGET_KEYS),
  '',
];
mkdirSync('docs/operators', { recursive: true });
writeFileSync('docs/operators/settings.md', page.join('\n'));
