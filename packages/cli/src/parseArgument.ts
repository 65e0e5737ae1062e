/** Reads arguments of the command line; a bad one is a complaint of commander. */
import { createDurationFormat } from '@galenatiller/operator';
import { InvalidArgumentError } from 'commander';

/** Longest duration that an option takes, in milliseconds. */
const MAX_DURATION_MS = 3_600_000;

const DURATION = createDurationFormat(MAX_DURATION_MS);

/** A duration with its unit, in milliseconds. */
export function parseDuration(text: string): number {
  return DURATION.parse(text).unwrapOrElse(() => {
    throw new InvalidArgumentError(`Found ${text}, expected ${DURATION.expected}.`);
  });
}

/** A whole number from 0. */
export function parseNonNegativeInteger(text: string): number {
  if (!/^\d{1,15}$/.test(text)) {
    throw new InvalidArgumentError(`Found ${text}, expected a whole number from 0.`);
  }
  return Number(text);
}

/** Text for a rule line, which it must not end. */
export function parseSingleLine(text: string): string {
  if (text.trim() === '' || /[\r\n]/.test(text)) {
    throw new InvalidArgumentError('Expected text on one line.');
  }
  return text;
}
