/** Text output for terminals and files. */
import Table from 'cli-table3';

import type { CommandFailure } from './commandFailure.js';

/** Styles text as success or error; returns it unchanged when colours are off. */
export interface TextStyle {
  readonly success: (text: string) => string;
  readonly error: (text: string) => string;
}

/** Options of {@link renderTable}. */
export interface RenderTableOptions {
  readonly head: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

const GREEN = '\u001b[32m';
const RED = '\u001b[31m';
const RESET_COLOUR = '\u001b[0m';

/** Creates a style with or without colours. */
export function createTextStyle(opts: { readonly hasColours: boolean }): TextStyle {
  return opts.hasColours
    ? { success: (text) => GREEN + text + RESET_COLOUR, error: (text) => RED + text + RESET_COLOUR }
    : { success: (text) => text, error: (text) => text };
}

/** Renders a table without colours. */
export function renderTable(opts: RenderTableOptions): string {
  const table = new Table({ head: [...opts.head], style: { head: [], border: [], compact: true } });
  opts.rows.forEach((row) => table.push([...row]));
  return table.toString();
}

/** Colours the lines of a diff: those with `+` as success, the others as error. */
export function renderChangeLines(lines: readonly string[], style: TextStyle): readonly string[] {
  return lines.map((line) => (line.startsWith('+') ? style.success(line) : style.error(line)));
}

/** Renders a failure with its details and the hint on how to resolve it. */
export function renderFailure(failure: CommandFailure, style: TextStyle): readonly string[] {
  return [
    style.error(`galenatiller: ${failure.error.message}`),
    ...failure.details.map((line) => `  ${line}`),
    failure.error.hint,
  ];
}
