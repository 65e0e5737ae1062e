/** Parsers for command line arguments; they throw commander's error for invalid ones. */
import { createDurationFormat } from '@galenatiller/operator';
import { InvalidArgumentError } from 'commander';

/** Maximum duration that an option accepts. */
const MAX_DURATION_MS = 3_600_000;

const DURATION_FORMAT = createDurationFormat(MAX_DURATION_MS);

/** Parses a duration with its unit to milliseconds. */
export function parseDuration(text: string): number {
  return DURATION_FORMAT.parse(text).unwrapOrElse(() => {
    throw new InvalidArgumentError(`Found ${text}, expected ${DURATION_FORMAT.expected}.`);
  });
}

/** Parses a non-negative whole number. */
export function parseNonNegativeInteger(text: string): number {
  if (!/^\d{1,15}$/.test(text)) {
    throw new InvalidArgumentError(`Found ${text}, expected a whole number of 0 or more.`);
  }
  return Number(text);
}

/** Checks text that becomes part of a rule line: not blank and without line breaks. */
export function parseSingleLine(text: string): string {
  if (text.trim() === '' || /[\r\n]/.test(text)) {
    throw new InvalidArgumentError('Expected text on one line.');
  }
  return text;
}
