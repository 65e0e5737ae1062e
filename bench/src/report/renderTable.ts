import Table from 'cli-table3';

/** Renders a table for a terminal. */
export function renderTable(
  head: readonly string[],
  rows: readonly (readonly (number | string)[])[],
): string {
  const table = new Table({ head: [...head], style: { head: [], border: [] } });
  table.push(...rows.map((row) => [...row]));
  return table.toString();
}

const PERCENT = 100;

/** Formats a share as a percentage. */
export function formatPercent(share: number): string {
  return `${(share * PERCENT).toFixed(1)} %`;
}
