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

/** Options of {@link readNodeSettings}; `fileName` is only used in problems. */
export interface ReadNodeSettingsOptions {
  readonly role: NodeRole;
  readonly fileName: string;
  readonly text: string;
}

interface ReadEntriesOptions {
  readonly fileName: string;
  readonly entries: readonly SettingsEntry[];
}

type ReadResult<Value> = Result<Value, readonly SettingsProblem[]>;

/** Reads the settings of a node from INI text, or reports all problems at once. */
export function readNodeSettings(opts: ReadNodeSettingsOptions): ReadResult<NodeSettings> {
  const { role, fileName } = opts;
  const parsed = parseEntries(opts.text);
  if (parsed.isErr) {
    return Result.err([createFileProblem({ fileName, found: parsed.error, expected: 'INI' })]);
  }
  const entries = parsed.value;
  const settings: ReadResult<NodeSettings> =
    role === 'entry' ? readEntry({ fileName, entries }) : readGate({ fileName, entries });
  const problems = [
    ...findUnknownKeys({ role, fileName, entries }),
    ...findDuplicateKeys({ fileName, entries }),
    ...getProblems(settings),
    ...(settings.isOk ? checkConsistency({ fileName, settings: settings.value }) : []),
  ];
  return problems.length > 0 ? Result.err(problems) : settings;
}

function findDuplicateKeys(opts: ReadEntriesOptions): readonly SettingsProblem[] {
  return opts.entries
    .filter((entry) => entry.earlierLine > 0)
    .map(({ section, key, line, earlierLine }) => ({
      fileName: opts.fileName,
      line,
      section: sanitizeText(section),
      key: sanitizeText(key),
      found: 'a duplicate key',
      expected: `each key only once; it is also on line ${earlierLine}`,
      nearest: '',
    }));
}

function readEntry(opts: ReadEntriesOptions): ReadResult<EntrySettings> {
  const common = readKeys({ ...opts, table: COMMON_KEYS });
  const entry = readKeys({ ...opts, table: ENTRY_KEYS });
  if (common.isErr || entry.isErr) {
    return Result.err([...getProblems(common), ...getProblems(entry)]);
  }
  return Result.ok({ role: 'entry', ...common.value, ...entry.value });
}

function readGate(opts: ReadEntriesOptions): ReadResult<GateSettings> {
  const common = readKeys({ ...opts, table: COMMON_KEYS });
  const targets = readTargets(opts);
  if (common.isErr || targets.isErr) {
    return Result.err([...getProblems(common), ...getProblems(targets)]);
  }
  return Result.ok({ role: 'gate', ...common.value, targets: targets.value });
}

function readTargets(opts: ReadEntriesOptions): ReadResult<readonly TargetSettings[]> {
  const sections = [...new Set(opts.entries.map((entry) => entry.section))].filter((section) =>
    section.startsWith(TARGET_SECTION_PREFIX),
  );
  if (sections.length === 0) {
    const expected = `a section [${TARGET_SECTION}] for each target`;
    return Result.err([createFileProblem({ ...opts, found: 'no target', expected })]);
  }
  const results = sections.map((section) => readTarget({ ...opts, section }));
  const problems = results.flatMap(getProblems);
  return problems.length > 0
    ? Result.err(problems)
    : Result.ok(results.flatMap((result) => (result.isOk ? [result.value] : [])));
}

function readTarget(
  opts: ReadEntriesOptions & { readonly section: string },
): ReadResult<TargetSettings> {
  const name = opts.section.slice(TARGET_SECTION_PREFIX.length);
  if (!NAME_PATTERN.test(name)) {
    const found = `the name "${sanitizeText(name)}"`;
    return Result.err([
      createFileProblem({ ...opts, found, expected: `[${TARGET_SECTION}], ${NAME_FORMAT}` }),
    ]);
  }
  return readKeys({ ...opts, table: TARGET_KEYS }).map((values) => ({ name, ...values }));
}

function getProblems(result: ReadResult<unknown>): readonly SettingsProblem[] {
  return result.isErr ? result.error : [];
}

function createFileProblem(
  opts: Pick<SettingsProblem, 'fileName' | 'found' | 'expected'>,
): SettingsProblem {
  const { fileName, found, expected } = opts;
  return { fileName, line: 0, section: '', key: '', found, expected, nearest: '' };
}
