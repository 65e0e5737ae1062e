import { Result } from 'true-myth';
import { z } from 'zod';

import type { SettingsEntry } from './parseEntries.js';
import type { KeyTable, SettingKey, ValuesOf } from './settingKey.js';
import type { SettingsProblem } from './settingsProblem.js';
import { sanitizeText } from './sanitizeText.js';

/** Options of {@link readKeys}. */
export interface ReadKeysOptions<Table extends KeyTable> {
  readonly fileName: string;
  readonly table: Table;
  readonly entries: readonly SettingsEntry[];
  /** Overrides the section of the table, for sections whose name contains a target name. */
  readonly section?: string;
}

/** Reads every key of a table, or reports all problems with them. */
export function readKeys<Table extends KeyTable>(
  opts: ReadKeysOptions<Table>,
): Result<ValuesOf<Table>, readonly SettingsProblem[]> {
  const fields = Object.entries(opts.table);
  const schema = z.object(Object.fromEntries(fields.map(([field, key]) => [field, key.schema])));
  const texts = fields.map(([field, key]) => [
    field,
    findEntry(opts, key)?.text ?? key.defaultText,
  ]);
  const parsed = schema.safeParse(Object.fromEntries(texts));
  if (parsed.success) {
    return Result.ok(parsed.data as ValuesOf<Table>);
  }
  const invalidFields = new Set(parsed.error.issues.map((issue) => issue.path[0]));
  return Result.err(
    fields.filter(([field]) => invalidFields.has(field)).map(([, key]) => createProblem(opts, key)),
  );
}

function findEntry(
  opts: ReadKeysOptions<KeyTable>,
  key: SettingKey<unknown>,
): SettingsEntry | undefined {
  const section = opts.section ?? key.section;
  return opts.entries.find((entry) => entry.section === section && entry.key === key.key);
}

function createProblem(opts: ReadKeysOptions<KeyTable>, key: SettingKey<unknown>): SettingsProblem {
  const entry = findEntry(opts, key);
  return {
    fileName: opts.fileName,
    line: entry?.line ?? 0,
    section: opts.section ?? key.section,
    key: key.key,
    found: describeFound(key, entry),
    expected: `${key.unit}: ${key.bounds}`,
    nearest: '',
  };
}

function describeFound(key: SettingKey<unknown>, entry: SettingsEntry | undefined): string {
  if (!entry) {
    return 'nothing';
  }
  return key.isSecret ? 'a value that is not shown' : `"${sanitizeText(entry.text)}"`;
}
