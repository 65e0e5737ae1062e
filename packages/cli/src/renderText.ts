/** Text for terminals and files. */
import Table from 'cli-table3';

import type { CommandFailure } from './commandFailure.js';

/** Marks text as good or bad; gives it unchanged when colours are off. */
export interface TextStyle {
  readonly success: (text: string) => string;
  readonly error: (text: string) => string;
}

/** Rows of a table under their heads. */
export interface RenderTableOptions {
  readonly head: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

const GREEN = '\u001b[32m';
const RED = '\u001b[31m';
const PLAIN = '\u001b[0m';

/** Colours on or off. */
export function createTextStyle(opts: { readonly hasColours: boolean }): TextStyle {
  return opts.hasColours
    ? { success: (text) => GREEN + text + PLAIN, error: (text) => RED + text + PLAIN }
    : { success: (text) => text, error: (text) => text };
}

/** A table without colours of its own. */
export function renderTable(opts: RenderTableOptions): string {
  const table = new Table({ head: [...opts.head], style: { head: [], border: [], compact: true } });
  opts.rows.forEach((row) => table.push([...row]));
  return table.toString();
}

/** Lines of a difference, coloured by their sign. */
export function renderChangeLines(lines: readonly string[], paint: TextStyle): readonly string[] {
  return lines.map((line) => (line.startsWith('+') ? paint.success(line) : paint.error(line)));
}

/** A failure with its details and what to do. */
export function renderFailure(failure: CommandFailure, paint: TextStyle): readonly string[] {
  return [
    paint.error(`galenatiller: ${failure.error.message}`),
    ...failure.details.map((line) => `  ${line}`),
    failure.error.hint,
  ];
}
