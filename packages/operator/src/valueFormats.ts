/** Values of the rules file: how each is written, read and checked. */
import { Maybe } from 'true-myth';

/** One kind of value: what it looks like and how it is read. */
export interface ValueFormat<Value extends string | number> {
  readonly expected: string;
  readonly parse: (image: string) => Maybe<Value>;
  /** A bad value may be a key in clear and must not be shown. */
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
  parse: (image) =>
    image.length <= MAX_NAME_LENGTH && /^[A-Za-z0-9][A-Za-z0-9._-]*$/.test(image)
      ? Maybe.just(image)
      : Maybe.nothing(),
};

/** A hex SHA-256 digest. */
export const KEY_HASH_FORMAT: ValueFormat<string> = {
  expected: 'a SHA-256 digest of 64 lower-case hex digits',
  isSecret: true,
  parse: (image) => (/^[0-9a-f]{64}$/.test(image) ? Maybe.just(image) : Maybe.nothing()),
};

/** A share in percent with up to two decimals, read as a number from 0 to 1. */
export const SHARE_FORMAT: ValueFormat<number> = {
  expected: 'a share over 0% and up to 100%, such as `5%` or `0.25%`',
  parse: (image) => {
    const match = /^(\d{1,3}(?:\.\d{1,2})?)%$/.exec(image);
    const percent = Number(match?.[1]);
    return percent > 0 && percent <= 100 ? Maybe.just(percent / 100) : Maybe.nothing();
  },
};

/** An instant in UTC, read as Unix time in milliseconds. */
export const INSTANT_FORMAT: ValueFormat<number> = {
  expected: 'a UTC time such as `2026-12-04T12:00:00Z`',
  parse: (image) => {
    const wallMs = /^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ$/.test(image) ? Date.parse(image) : NaN;
    // Date.parse accepts days that do not exist, such as 31 February.
    const exists = !Number.isNaN(wallMs) && formatInstant(wallMs) === image;
    return exists ? Maybe.just(wallMs) : Maybe.nothing();
  },
};

/** A whole number in a range. */
export function createIntegerFormat(min: number, max: number): ValueFormat<number> {
  return {
    expected: `a whole number from ${min} to ${max}`,
    parse: (image) => (/^\d{1,9}$/.test(image) ? within(Number(image), min, max) : Maybe.nothing()),
  };
}

/** A duration with its unit, read in milliseconds. */
export function createDurationFormat(maxMs: number): ValueFormat<number> {
  return {
    expected: `a duration from 1ms to ${formatDuration(maxMs)}, such as \`3s\` or \`250ms\``,
    parse: (image) => {
      const match = /^(\d{1,9})(ms|s|m)$/.exec(image);
      const unitMs = MS_PER_UNIT.get(match?.[2] ?? '') ?? 0;
      return within(Number(match?.[1] ?? 0) * unitMs, 1, maxMs);
    },
  };
}

/** One word of a string union. */
export function createEnumFormat<Word extends string>(words: readonly Word[]): ValueFormat<Word> {
  return {
    expected: `one of ${words.join(', ')}`,
    parse: (image) => Maybe.of(words.find((word) => word === image)),
  };
}

/** Writes a duration in the largest unit of s and ms that is exact. */
export function formatDuration(durationMs: number): string {
  return durationMs % 1_000 === 0 ? `${durationMs / 1_000}s` : `${durationMs}ms`;
}

/** Writes a share as percent. */
export function formatShare(share: number): string {
  return `${Number((share * 100).toFixed(2))}%`;
}

/** Writes Unix time in milliseconds as UTC to the second. */
export function formatInstant(wallMs: number): string {
  return new Date(wallMs).toISOString().replace('.000Z', 'Z');
}

function within(value: number, min: number, max: number): Maybe<number> {
  return value >= min && value <= max ? Maybe.just(value) : Maybe.nothing();
}
