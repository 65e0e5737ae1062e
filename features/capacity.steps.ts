import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';

import { Then, When } from '@cucumber/cucumber';

interface CapacityWorld {
  rows: readonly string[];
}

interface CapacityScript {
  readonly renderCapacity: () => string;
}

When('the capacity table is computed again', async function when(this: CapacityWorld) {
  const script = (await import(
    new URL('../scripts/capacityPage.mjs', import.meta.url).href
  )) as CapacityScript;
  this.rows = extractRows(script.renderCapacity());
});

Then('docs\\/CAPACITY.md has the same figures', async function then(this: CapacityWorld) {
  const page = extractRows(await readFile('docs/CAPACITY.md', 'utf8'));
  assert.deepEqual(page.slice(0, this.rows.length), this.rows);
});

/** Extracts the rows of tables, without the padding that the formatter adds. */
function extractRows(text: string): readonly string[] {
  return text
    .split('\n')
    .filter((line) => line.startsWith('|') && !/^[| -]+$/.test(line))
    .map((line) => line.replace(/\s*\|\s*/g, '|'));
}
