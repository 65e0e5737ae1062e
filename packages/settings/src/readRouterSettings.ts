import { Result } from 'true-myth';

import { findUnknownKeys } from './findUnknownKeys.js';
import { parseEntries, type SettingsEntry } from './parseEntries.js';
import { readKeys } from './readKeys.js';
import { ROUTER_KEYS, type RouterSettings } from './routerKeys.js';
import type { SettingsProblem } from './settingsProblem.js';

/** Options of {@link readRouterSettings}; `fileName` is only used in problems. */
export interface ReadRouterSettingsOptions {
  readonly fileName: string;
  readonly text: string;
  /** Translates the text of a value into the words of the settings. */
  readonly translate?: (entry: Pick<SettingsEntry, 'section' | 'key' | 'text'>) => string;
}

/** Reads the settings of a router from INI text, or reports all problems at once. */
export function readRouterSettings(
  opts: ReadRouterSettingsOptions,
): Result<RouterSettings, readonly SettingsProblem[]> {
  const { fileName, translate = ({ text }) => text } = opts;
  const parsed = parseEntries(opts.text);
  if (parsed.isErr) {
    const found = parsed.error;
    return Result.err([
      { fileName, line: 0, section: '', key: '', found, expected: 'INI', nearest: '' },
    ]);
  }
  const entries = parsed.value.map((entry) => ({ ...entry, text: translate(entry) }));
  const settings = readKeys({ fileName, entries, table: ROUTER_KEYS });
  const problems = [
    ...findUnknownKeys({ role: 'router', fileName, entries }),
    ...(settings.isErr ? settings.error : []),
  ];
  return problems.length > 0 ? Result.err(problems) : settings;
}
