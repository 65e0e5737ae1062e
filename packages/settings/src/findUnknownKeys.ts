import type { NodeRole } from '@galenatiller/types';

import { findNearestName } from '@galenatiller/error';
import type { SettingsEntry } from './parseEntries.js';
import type { KeyTable } from './settingKey.js';
import { ROUTER_KEYS } from './routerKeys.js';
import { COMMON_KEYS, ENTRY_KEYS, TARGET_KEYS, TARGET_SECTION_PREFIX } from './settingKeys.js';
import type { SettingsProblem } from './settingsProblem.js';
import { sanitizeText } from './sanitizeText.js';

/** Options of {@link findUnknownKeys}. */
export interface FindUnknownKeysOptions {
  readonly role: NodeRole | 'router';
  readonly fileName: string;
  readonly entries: readonly SettingsEntry[];
}

/** A problem for each section and key that the role does not have. */
export function findUnknownKeys(opts: FindUnknownKeysOptions): readonly SettingsProblem[] {
  const entries = opts.entries.filter((entry) => entry.section !== '' || entry.key !== '');
  const sections = [...new Set(entries.map((entry) => entry.section))];
  return sections.flatMap((section) => {
    const keys = keysOf(opts.role, section);
    const inSection = entries.filter((entry) => entry.section === section);
    const first = inSection[0];
    if (keys.length === 0 && first) {
      return [unknownSection(opts, first)];
    }
    return inSection
      .filter((entry) => entry.key !== '' && !keys.includes(entry.key))
      .map((entry) => unknownKey(opts, entry, keys));
  });
}

function unknownSection(opts: FindUnknownKeysOptions, entry: SettingsEntry): SettingsProblem {
  const known = sectionsOf(opts.role);
  return {
    fileName: opts.fileName,
    line: entry.line,
    section: sanitizeText(entry.section),
    key: '',
    found: entry.section ? 'an unknown section' : 'a key before the first section',
    expected: `a section of the role ${opts.role}: ${known.join(', ')}`,
    nearest: findNearestName({ found: entry.section, names: known }),
  };
}

function unknownKey(
  opts: FindUnknownKeysOptions,
  entry: SettingsEntry,
  known: readonly string[],
): SettingsProblem {
  return {
    fileName: opts.fileName,
    line: entry.line,
    section: entry.section,
    key: sanitizeText(entry.key),
    found: 'an unknown key',
    expected: `one of ${known.join(', ')}`,
    nearest: findNearestName({ found: entry.key, names: known }),
  };
}

function sectionsOf(role: NodeRole | 'router'): readonly string[] {
  const sections = new Set(rowsOf(role).map((row) => row.section));
  return [...sections, ...(role === 'gate' ? [`${TARGET_SECTION_PREFIX}NAME`] : [])];
}

function keysOf(role: NodeRole | 'router', section: string): readonly string[] {
  if (role === 'gate' && section.startsWith(TARGET_SECTION_PREFIX)) {
    return rows(TARGET_KEYS).map((row) => row.key);
  }
  return rowsOf(role)
    .filter((row) => row.section === section)
    .map((row) => row.key);
}

function rowsOf(role: NodeRole | 'router'): ReturnType<typeof rows> {
  if (role === 'router') {
    return rows(ROUTER_KEYS);
  }
  return role === 'entry' ? [...rows(COMMON_KEYS), ...rows(ENTRY_KEYS)] : rows(COMMON_KEYS);
}

function rows(table: KeyTable): readonly KeyTable[string][] {
  return Object.values(table);
}
