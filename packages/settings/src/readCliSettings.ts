import { Result } from 'true-myth';
import { z } from 'zod';

import { findNearestName } from '@galenatiller/error';
import { parseEntries, type SettingsEntry } from './parseEntries.js';
import { readKeys } from './readKeys.js';
import { type SettingKey, urlKey } from './settingKey.js';
import type { SettingsProblem } from './settingsProblem.js';
import { sanitizeText } from './sanitizeText.js';

/** Settings of the operators' command line tool, section `[cli]`. */
export interface CliSettings {
  readonly storeUrl: string;
  readonly hostListUrl: string;
  /** Authenticates the operator to the nodes; never printed. */
  readonly operatorKey: string;
  /** Name stored with each accepted change. */
  readonly author: string;
}

/** Options of {@link readCliSettings}; `fileName` is only used in problems. */
export interface ReadCliSettingsOptions {
  readonly fileName: string;
  readonly text: string;
}

const MIN_KEY_HEX_DIGITS = 64;

/** Setting keys of the command line tool. */
export const CLI_KEYS = {
  storeUrl: urlKey({ section: 'cli', key: 'store-url', meaning: 'Key-value service.' }),
  hostListUrl: urlKey({ section: 'cli', key: 'host-list-url', meaning: 'Host list.' }),
  operatorKey: {
    section: 'cli',
    key: 'operator-key',
    meaning: 'Authenticates the operator to the nodes.',
    unit: 'hex',
    bounds: `at least ${MIN_KEY_HEX_DIGITS} hex digits`,
    isSecret: true,
    schema: z
      .string()
      .toLowerCase()
      .min(MIN_KEY_HEX_DIGITS)
      .regex(/^[0-9a-f]+$/),
  } satisfies SettingKey<string>,
  author: {
    section: 'cli',
    key: 'author',
    meaning: 'Name stored with each accepted change.',
    unit: 'text',
    bounds: '1 to 64 printable characters',
    isSecret: false,
    schema: z.string().regex(/^[^\p{C}]{1,64}$/u),
  } satisfies SettingKey<string>,
};

/** Reads the settings of the command line tool from INI text, or reports all problems at once. */
export function readCliSettings(
  opts: ReadCliSettingsOptions,
): Result<CliSettings, readonly SettingsProblem[]> {
  const { fileName } = opts;
  const entries = parseEntries(opts.text);
  if (entries.isErr) {
    const location = { fileName, line: 0, section: '', key: '', nearest: '' };
    return Result.err([{ ...location, found: entries.error, expected: 'INI' }]);
  }
  const unknown = entries.value.flatMap((entry) => findUnknownKey(fileName, entry));
  const settings = readKeys({ fileName, table: CLI_KEYS, entries: entries.value });
  const problems = [...unknown, ...(settings.isErr ? settings.error : [])];
  return problems.length > 0 ? Result.err(problems) : settings;
}

function findUnknownKey(fileName: string, entry: SettingsEntry): readonly SettingsProblem[] {
  const known = Object.values(CLI_KEYS).map((settingKey) => settingKey.key);
  if (entry.section === 'cli' && known.includes(entry.key)) {
    return [];
  }
  return [
    {
      fileName,
      line: entry.line,
      section: sanitizeText(entry.section),
      key: sanitizeText(entry.key),
      found: 'an unknown key',
      expected: `one of ${known.join(', ')} in [cli]`,
      nearest: findNearestName({ found: entry.key, names: known }),
    },
  ];
}
