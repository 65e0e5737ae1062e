import type { NodeRole } from '@galenatiller/types';
import { Result } from 'true-myth';

import { checkConsistency } from './checkConsistency.js';
import { findUnknownKeys } from './findUnknownKeys.js';
import type { EntrySettings, GateSettings, NodeSettings, TargetSettings } from './nodeSettings.js';
import { parseEntries, type SettingsEntry } from './parseEntries.js';
import { readKeys } from './readKeys.js';
import { NAME_PATTERN, NAME_FORMAT } from './settingKey.js';
import {
  COMMON_KEYS,
  ENTRY_KEYS,
  TARGET_KEYS,
  TARGET_SECTION,
  TARGET_SECTION_PREFIX,
} from './settingKeys.js';
import type { SettingsProblem } from './settingsProblem.js';
import { sanitizeText } from './sanitizeText.js';

/** Options of {@link readNodeSettings}; `fileName` is for the problems only. */
export interface ReadNodeSettingsOptions {
  readonly role: NodeRole;
  readonly fileName: string;
  readonly text: string;
}

interface ReadEntriesOptions {
  readonly fileName: string;
  readonly entries: readonly SettingsEntry[];
}

type Read<Value> = Result<Value, readonly SettingsProblem[]>;

/** Reads the settings of a node from INI text, or says every problem at once. */
export function readNodeSettings(opts: ReadNodeSettingsOptions): Read<NodeSettings> {
  const { role, fileName } = opts;
  const parsed = parseEntries(opts.text);
  if (parsed.isErr) {
    return Result.err([wholeFile({ fileName, found: parsed.error, expected: 'INI' })]);
  }
  const entries = parsed.value;
  const settings: Read<NodeSettings> =
    role === 'entry' ? readEntry({ fileName, entries }) : readGate({ fileName, entries });
  const problems = [
    ...findUnknownKeys({ role, fileName, entries }),
    ...findRepeated({ fileName, entries }),
    ...problemsOf(settings),
    ...(settings.isOk ? checkConsistency({ fileName, settings: settings.value }) : []),
  ];
  return problems.length > 0 ? Result.err(problems) : settings;
}

function findRepeated(opts: ReadEntriesOptions): readonly SettingsProblem[] {
  return opts.entries
    .filter((entry) => entry.earlierLine > 0)
    .map(({ section, key, line, earlierLine }) => ({
      fileName: opts.fileName,
      line,
      section: sanitizeText(section),
      key: sanitizeText(key),
      found: 'the key again',
      expected: `one line for each key; line ${earlierLine} gives it too`,
      nearest: '',
    }));
}

function readEntry(opts: ReadEntriesOptions): Read<EntrySettings> {
  const common = readKeys({ ...opts, table: COMMON_KEYS });
  const entry = readKeys({ ...opts, table: ENTRY_KEYS });
  if (common.isErr || entry.isErr) {
    return Result.err([...problemsOf(common), ...problemsOf(entry)]);
  }
  return Result.ok({ role: 'entry', ...common.value, ...entry.value });
}

function readGate(opts: ReadEntriesOptions): Read<GateSettings> {
  const common = readKeys({ ...opts, table: COMMON_KEYS });
  const targets = readTargets(opts);
  if (common.isErr || targets.isErr) {
    return Result.err([...problemsOf(common), ...problemsOf(targets)]);
  }
  return Result.ok({ role: 'gate', ...common.value, targets: targets.value });
}

function readTargets(opts: ReadEntriesOptions): Read<readonly TargetSettings[]> {
  const sections = [...new Set(opts.entries.map((entry) => entry.section))].filter((section) =>
    section.startsWith(TARGET_SECTION_PREFIX),
  );
  if (sections.length === 0) {
    const expected = `a section [${TARGET_SECTION}] for each target`;
    return Result.err([wholeFile({ ...opts, found: 'no target', expected })]);
  }
  const reads = sections.map((section) => readTarget({ ...opts, section }));
  const problems = reads.flatMap(problemsOf);
  return problems.length > 0
    ? Result.err(problems)
    : Result.ok(reads.flatMap((read) => (read.isOk ? [read.value] : [])));
}

function readTarget(opts: ReadEntriesOptions & { readonly section: string }): Read<TargetSettings> {
  const name = opts.section.slice(TARGET_SECTION_PREFIX.length);
  if (!NAME_PATTERN.test(name)) {
    const found = `the name "${sanitizeText(name)}"`;
    return Result.err([
      wholeFile({ ...opts, found, expected: `[${TARGET_SECTION}], ${NAME_FORMAT}` }),
    ]);
  }
  return readKeys({ ...opts, table: TARGET_KEYS }).map((values) => ({ name, ...values }));
}

function problemsOf(read: Read<unknown>): readonly SettingsProblem[] {
  return read.isErr ? read.error : [];
}

function wholeFile(
  opts: Pick<SettingsProblem, 'fileName' | 'found' | 'expected'>,
): SettingsProblem {
  const { fileName, found, expected } = opts;
  return { fileName, line: 0, section: '', key: '', found, expected, nearest: '' };
}
