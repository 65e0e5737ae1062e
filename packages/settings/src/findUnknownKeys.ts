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

/** Finds the sections and keys that are unknown to the role. */
export function findUnknownKeys(opts: FindUnknownKeysOptions): readonly SettingsProblem[] {
  const entries = opts.entries.filter((entry) => entry.section !== '' || entry.key !== '');
  const sections = [...new Set(entries.map((entry) => entry.section))];
  return sections.flatMap((section) => {
    const keys = getKeys(opts.role, section);
    const inSection = entries.filter((entry) => entry.section === section);
    const first = inSection[0];
    if (keys.length === 0 && first) {
      return [describeUnknownSection(opts, first)];
    }
    return inSection
      .filter((entry) => entry.key !== '' && !keys.includes(entry.key))
      .map((entry) => describeUnknownKey(opts, entry, keys));
  });
}

function describeUnknownSection(
  opts: FindUnknownKeysOptions,
  entry: SettingsEntry,
): SettingsProblem {
  const known = getSections(opts.role);
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

function describeUnknownKey(
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

function getSections(role: NodeRole | 'router'): readonly string[] {
  const sections = new Set(getSettingKeys(role).map((settingKey) => settingKey.section));
  return [...sections, ...(role === 'gate' ? [`${TARGET_SECTION_PREFIX}NAME`] : [])];
}

function getKeys(role: NodeRole | 'router', section: string): readonly string[] {
  if (role === 'gate' && section.startsWith(TARGET_SECTION_PREFIX)) {
    return listSettingKeys(TARGET_KEYS).map((settingKey) => settingKey.key);
  }
  return getSettingKeys(role)
    .filter((settingKey) => settingKey.section === section)
    .map((settingKey) => settingKey.key);
}

function getSettingKeys(role: NodeRole | 'router'): ReturnType<typeof listSettingKeys> {
  if (role === 'router') {
    return listSettingKeys(ROUTER_KEYS);
  }
  return role === 'entry'
    ? [...listSettingKeys(COMMON_KEYS), ...listSettingKeys(ENTRY_KEYS)]
    : listSettingKeys(COMMON_KEYS);
}

function listSettingKeys(table: KeyTable): readonly KeyTable[string][] {
  return Object.values(table);
}
