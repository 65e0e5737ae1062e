/** Text for terminals and files. */
import Table from 'cli-table3';

import type { CommandFailure } from './commandFailure.js';

/** Marks text as good or bad; gives it unchanged when colours are off. */
export interface Paint {
  readonly good: (text: string) => string;
  readonly bad: (text: string) => string;
}

/** Rows of a table under their heads. */
export interface TableOptions {
  readonly head: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

const GREEN = '\u001b[32m';
const RED = '\u001b[31m';
const PLAIN = '\u001b[0m';

/** Colours on or off. */
export function createPaint(opts: { readonly colours: boolean }): Paint {
  return opts.colours
    ? { good: (text) => GREEN + text + PLAIN, bad: (text) => RED + text + PLAIN }
    : { good: (text) => text, bad: (text) => text };
}

/** A table without colours of its own. */
export function renderTable(opts: TableOptions): string {
  const table = new Table({ head: [...opts.head], style: { head: [], border: [], compact: true } });
  opts.rows.forEach((row) => table.push([...row]));
  return table.toString();
}

/** Lines of a difference, coloured by their sign. */
export function renderChangeLines(lines: readonly string[], paint: Paint): readonly string[] {
  return lines.map((line) => (line.startsWith('+') ? paint.good(line) : paint.bad(line)));
}

/** A failure with its details and what to do. */
export function renderFailure(failure: CommandFailure, paint: Paint): readonly string[] {
  return [
    paint.bad(`galenatiller: ${failure.error.message}`),
    ...failure.details.map((line) => `  ${line}`),
    failure.error.hint,
  ];
}
