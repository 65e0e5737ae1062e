/** Formats of the values in rules files: parsing, validation and formatting. */
import { Maybe } from 'true-myth';

/** Format of one kind of value: its description for error messages and its parser. */
export interface ValueFormat<Value extends string | number> {
  readonly expected: string;
  readonly parse: (text: string) => Maybe<Value>;
  /** Whether to hide an invalid value from messages, since it may be a key in plain text. */
  readonly isSecret?: boolean;
}

const MS_PER_UNIT = new Map([
  ['ms', 1],
  ['s', 1_000],
  ['m', 60_000],
]);

const MAX_NAME_LENGTH = 64;

/** A name of letters, digits, `.`, `_` and `-`. */
export const NAME_FORMAT: ValueFormat<string> = {
  expected: `a name of at most ${MAX_NAME_LENGTH} letters, digits, \`.\`, \`_\` or \`-\``,
  parse: (text) =>
    text.length <= MAX_NAME_LENGTH && /^[A-Za-z0-9][A-Za-z0-9._-]*$/.test(text)
      ? Maybe.just(text)
      : Maybe.nothing(),
};

/** A hex SHA-256 digest. */
export const KEY_HASH_FORMAT: ValueFormat<string> = {
  expected: 'a SHA-256 digest of 64 lower-case hex digits',
  isSecret: true,
  parse: (text) => (/^[0-9a-f]{64}$/.test(text) ? Maybe.just(text) : Maybe.nothing()),
};

/** A percentage with up to two decimals, parsed to a number from 0 to 1. */
export const SHARE_FORMAT: ValueFormat<number> = {
  expected: 'a share over 0% and up to 100%, such as `5%` or `0.25%`',
  parse: (text) => {
    const match = /^(\d{1,3}(?:\.\d{1,2})?)%$/.exec(text);
    const percent = Number(match?.[1]);
    return percent > 0 && percent <= 100 ? Maybe.just(percent / 100) : Maybe.nothing();
  },
};

/** An instant in UTC, parsed to Unix time in milliseconds. */
export const INSTANT_FORMAT: ValueFormat<number> = {
  expected: 'a UTC time such as `2026-12-04T12:00:00Z`',
  parse: (text) => {
    const wallMs = /^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ$/.test(text) ? Date.parse(text) : NaN;
    // Date.parse accepts dates that do not exist, such as 31 February.
    const exists = !Number.isNaN(wallMs) && formatInstant(wallMs) === text;
    return exists ? Maybe.just(wallMs) : Maybe.nothing();
  },
};

/** Creates the format of a whole number in a range. */
export function createIntegerFormat(min: number, max: number): ValueFormat<number> {
  return {
    expected: `a whole number from ${min} to ${max}`,
    parse: (text) => (/^\d{1,9}$/.test(text) ? ifInRange(Number(text), min, max) : Maybe.nothing()),
  };
}

/** Creates the format of a duration with its unit, parsed to milliseconds. */
export function createDurationFormat(maxMs: number): ValueFormat<number> {
  return {
    expected: `a duration from 1ms to ${formatDuration(maxMs)}, such as \`3s\` or \`250ms\``,
    parse: (text) => {
      const match = /^(\d{1,9})(ms|s|m)$/.exec(text);
      const unitMs = MS_PER_UNIT.get(match?.[2] ?? '') ?? 0;
      return ifInRange(Number(match?.[1] ?? 0) * unitMs, 1, maxMs);
    },
  };
}

/** Creates the format of a string union. */
export function createEnumFormat<Word extends string>(words: readonly Word[]): ValueFormat<Word> {
  return {
    expected: `one of ${words.join(', ')}`,
    parse: (text) => Maybe.of(words.find((word) => word === text)),
  };
}

/** Formats a duration in seconds when that is exact, otherwise in milliseconds. */
export function formatDuration(durationMs: number): string {
  return durationMs % 1_000 === 0 ? `${durationMs / 1_000}s` : `${durationMs}ms`;
}

/** Formats a share as a percentage. */
export function formatShare(share: number): string {
  return `${Number((share * 100).toFixed(2))}%`;
}

/** Formats Unix time in milliseconds as UTC with a precision of one second. */
export function formatInstant(wallMs: number): string {
  return new Date(wallMs).toISOString().replace('.000Z', 'Z');
}

function ifInRange(value: number, min: number, max: number): Maybe<number> {
  return value >= min && value <= max ? Maybe.just(value) : Maybe.nothing();
}
