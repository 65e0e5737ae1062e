import { isIP } from 'node:net';

import { z } from 'zod';

const MIN_KEY_BYTES = 32;
const HEX_DIGITS_PER_BYTE = 2;
const MAX_KEYS = 2;
const MAX_PORT = 65_535;
const IPV4 = 4;

/** Pattern of valid names. */
export const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** Description of {@link NAME_PATTERN} for operators. */
export const NAME_FORMAT = '1 to 63 of A-Z a-z 0-9 . _ -, first a letter or digit';

const HTTP_URL = z.url({ protocol: /^https?$/ });
const HEX = /^([0-9a-f]{2})+$/;

/** A key of the settings file; a key without `defaultText` is required. */
export interface SettingKey<Value> {
  readonly section: string;
  readonly key: string;
  readonly meaning: string;
  readonly unit: string;
  readonly bounds: string;
  readonly defaultText?: string;
  /** Values of secret keys are never printed. */
  readonly isSecret: boolean;
  readonly schema: z.ZodType<Value, string>;
}

/** Setting keys, indexed by the settings field that they set. */
export type KeyTable = Readonly<Record<string, SettingKey<unknown>>>;

/** The settings that result from a table of keys. */
export type ValuesOf<Table extends KeyTable> = {
  readonly [Field in keyof Table]: Table[Field] extends SettingKey<infer Value> ? Value : never;
};

/** Options that are common to keys of every value type. */
export interface KeyOptions {
  readonly section: string;
  readonly key: string;
  readonly meaning: string;
  readonly defaultText?: string;
}

/** Options of {@link integerKey}. */
export interface IntegerKeyOptions extends KeyOptions {
  readonly unit: string;
  readonly min: number;
  readonly max: number;
}

/** Defines a key whose value is a name. */
export function nameKey(opts: KeyOptions): SettingKey<string> {
  return {
    ...opts,
    unit: 'name',
    bounds: NAME_FORMAT,
    isSecret: false,
    schema: z.string().regex(NAME_PATTERN),
  };
}

/** Defines a key whose value is an integer. */
export function integerKey(opts: IntegerKeyOptions): SettingKey<number> {
  const { min, max, ...rest } = opts;
  return {
    ...rest,
    bounds: `${min} to ${max}`,
    isSecret: false,
    schema: z.string().regex(/^\d+$/).transform(Number).pipe(z.number().int().min(min).max(max)),
  };
}

/** Defines a key whose value is a TCP or UDP port. */
export function portKey(opts: KeyOptions): SettingKey<number> {
  return integerKey({ ...opts, unit: 'port', min: 1, max: MAX_PORT });
}

/** Defines a key whose value is an IP address; it may be empty only if its default is empty. */
export function addressKey(opts: KeyOptions): SettingKey<string> {
  const canBeEmpty = opts.defaultText === '';
  return {
    ...opts,
    unit: 'IP address',
    bounds: canBeEmpty ? 'IPv4, IPv6 or empty' : 'IPv4 or IPv6',
    isSecret: false,
    schema: z.string().refine((text) => isIP(text) !== 0 || (canBeEmpty && text === '')),
  };
}

/** Defines a key whose value is an integer or decimal number. */
export function decimalKey(opts: IntegerKeyOptions): SettingKey<number> {
  const { min, max, ...rest } = opts;
  return {
    ...rest,
    bounds: `${min} to ${max}`,
    isSecret: false,
    schema: z
      .string()
      .regex(/^\d+(\.\d+)?$/)
      .transform(Number)
      .pipe(z.number().min(min).max(max)),
  };
}

/**
 * Defines a key for a figure that a deployment states: any number, in any notation, limited to the
 * bounds. A figure that is left out or is a truth value states no number, so the default applies.
 */
export function figureKey(
  opts: IntegerKeyOptions & { readonly defaultText: string },
): SettingKey<number> {
  const { min, max, ...rest } = opts;
  return {
    ...rest,
    bounds: `limited to ${min} to ${max}`,
    isSecret: false,
    schema: z
      .string()
      .transform((text) => (STATES_NO_NUMBER.test(text) ? opts.defaultText : text))
      .pipe(z.string().regex(NUMBER_PATTERN))
      .transform((text) => Math.min(max, Math.max(min, Number(text)))),
  };
}

const STATES_NO_NUMBER = /^(true|false|null)?$/;
const NUMBER_PATTERN = /^-?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?$/;

/** Defines a key whose value is an IPv4 address and a port; it may be empty only if its default is empty. */
export function socketKey(opts: KeyOptions): SettingKey<string> {
  const canBeEmpty = opts.defaultText === '';
  const bounds = 'IPv4 address and a port from 1 to 65535';
  return {
    ...opts,
    unit: 'IP:PORT',
    bounds: canBeEmpty ? `${bounds}, or empty` : bounds,
    isSecret: false,
    schema: z.string().refine((text) => isSocketAddress(text) || (canBeEmpty && text === '')),
  };
}

function isSocketAddress(text: string): boolean {
  const [address = '', port = '', ...rest] = text.split(':');
  const isPort = /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= MAX_PORT;
  return rest.length === 0 && isIP(address) === IPV4 && isPort;
}

/** Defines a key whose value is an HTTP URL; it may be empty only if its default is empty. */
export function urlKey(opts: KeyOptions): SettingKey<string> {
  const canBeEmpty = opts.defaultText === '';
  return {
    ...opts,
    unit: 'URL',
    bounds: canBeEmpty ? 'http, https or empty' : 'http or https',
    isSecret: false,
    schema: canBeEmpty ? z.union([HTTP_URL, z.literal('')]) : HTTP_URL,
  };
}

/** Defines a key whose value is a list of shared secrets, in hex and separated by commas. */
export function secretsKey(opts: KeyOptions): SettingKey<readonly string[]> {
  const minDigits = MIN_KEY_BYTES * HEX_DIGITS_PER_BYTE;
  return {
    ...opts,
    unit: 'hex, separated by commas',
    bounds: `1 to ${MAX_KEYS} keys of at least ${MIN_KEY_BYTES} bytes (${minDigits} hex digits)`,
    isSecret: true,
    schema: z
      .string()
      .transform(splitList)
      .pipe(z.array(z.string().min(minDigits).regex(HEX)).min(1).max(MAX_KEYS)),
  };
}

/** Defines a key whose value is one of several words. */
export function choiceKey<const Choice extends string>(
  opts: KeyOptions & { readonly choices: readonly Choice[] },
): SettingKey<Choice> {
  const { choices, ...rest } = opts;
  return {
    ...rest,
    unit: 'word',
    bounds: choices.join(', '),
    isSecret: false,
    schema: z.string().pipe(z.enum(choices) as z.ZodType<Choice, string>),
  };
}

/** Defines a key whose value is a list of some of several words, each at most once. */
export function wordsKey<const Choice extends string>(
  opts: KeyOptions & { readonly choices: readonly Choice[] },
): SettingKey<readonly Choice[]> {
  const { choices, ...rest } = opts;
  return {
    ...rest,
    unit: 'words, separated by commas',
    bounds: choices.join(', '),
    isSecret: false,
    schema: z
      .string()
      .transform((text) => [...new Set(splitList(text).filter((word) => word !== ''))])
      .pipe(z.array(z.enum(choices) as z.ZodType<Choice, string>)),
  };
}

function splitList(text: string): string[] {
  return text.split(',').map((part) => part.trim().toLowerCase());
}
