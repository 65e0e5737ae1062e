import { parse } from 'ini';
import { Result } from 'true-myth';

/** A `key = value` line; an empty section is represented by one entry with an empty key. */
export interface SettingsEntry {
  readonly section: string;
  readonly key: string;
  readonly text: string;
  /** Line number, from 1; 0 when the line could not be located. */
  readonly line: number;
  /** Number of an earlier line with the same key; 0 when there is none. */
  readonly earlierLine: number;
}

/** A value as parsed by the INI library, which reads quoted values as JSON. */
type IniValue = string | number | boolean | null | readonly IniValue[] | IniSection;

interface IniSection {
  readonly [key: string]: IniValue;
}

type UnlocatedEntry = Omit<SettingsEntry, 'line' | 'earlierLine'>;

interface PendingSection {
  readonly path: string;
  readonly section: IniSection;
}

/** Parses INI text to its keys, with their sections and lines; the error is a short description. */
export function parseEntries(text: string): Result<readonly SettingsEntry[], string> {
  try {
    const lines = locateKeys(text);
    return Result.ok(
      listEntries(parse(text)).map((entry) => {
        const [line = 0, earlierLine = 0] =
          lines.get(createLineKey(entry.section, entry.key)) ?? [];
        return { ...entry, line, earlierLine };
      }),
    );
  } catch {
    return Result.err('text that is not INI');
  }
}

/**
 * Lists the keys of all nested sections. It uses an explicit stack, because the library nests a section
 * for each dot of its name and a recursion could overflow the call stack.
 */
function listEntries(root: IniSection): UnlocatedEntry[] {
  const pending: PendingSection[] = [{ path: '', section: root }];
  const entries: UnlocatedEntry[] = [];
  for (let next = pending.pop(); next; next = pending.pop()) {
    const { path, section } = next;
    const values = Object.entries(section);
    if (values.length === 0) {
      entries.push({ section: path, key: '', text: '' });
    }
    values.forEach(([key, value]) => {
      if (isSection(value)) {
        pending.push({ path: path ? `${path}.${key}` : key, section: value });
      } else {
        entries.push({ section: path, key, text: String(value) });
      }
    });
  }
  return entries;
}

function isSection(value: IniValue): value is IniSection {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Finds the line numbers of each key, last line first. */
function locateKeys(text: string): ReadonlyMap<string, readonly number[]> {
  const lines = new Map<string, readonly number[]>();
  let section = '';
  text.split(/\r\n|\r|\n/).forEach((raw, index) => {
    const line = raw.trim();
    const header = /^\[([^\]]*)\]$/.exec(line);
    if (header) {
      section = (header[1] ?? '').trim();
    } else if (line !== '' && !/^[;#]/.test(line)) {
      const key = createLineKey(section, line.replace(/\s*=.*$/, ''));
      lines.set(key, [index + 1, ...(lines.get(key) ?? [])]);
    }
  });
  return lines;
}

function createLineKey(section: string, key: string): string {
  return `${section}\n${key}`;
}
