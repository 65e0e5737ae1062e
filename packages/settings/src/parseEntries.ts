import { parse } from 'ini';
import { Result } from 'true-myth';

/** One `key = value` line; an empty section has one entry with an empty key. */
export interface SettingsEntry {
  readonly section: string;
  readonly key: string;
  readonly text: string;
  /** Counts from 1; 0 when it could not be located. */
  readonly line: number;
  /** Line that gives the same key before; 0 when there is none. */
  readonly earlierLine: number;
}

/** A value as the INI library gives it: quotes may hold any JSON. */
type IniValue = string | number | boolean | null | readonly IniValue[] | IniSection;

interface IniSection {
  readonly [key: string]: IniValue;
}

type UnlocatedEntry = Omit<SettingsEntry, 'line' | 'earlierLine'>;

interface SectionVisit {
  readonly path: string;
  readonly section: IniSection;
}

/** Every key of an INI text with its section and line; the error is a short reason. */
export function parseEntries(text: string): Result<readonly SettingsEntry[], string> {
  try {
    const lines = locateKeys(text);
    return Result.ok(
      listEntries(parse(text)).map((entry) => {
        const [line = 0, earlierLine = 0] = lines.get(lineKey(entry.section, entry.key)) ?? [];
        return { ...entry, line, earlierLine };
      }),
    );
  } catch {
    return Result.err('text that is not INI');
  }
}

/** Walks with a list of its own: the library nests sections as deep as the file has dots. */
function listEntries(root: IniSection): UnlocatedEntry[] {
  const visits: SectionVisit[] = [{ path: '', section: root }];
  const entries: UnlocatedEntry[] = [];
  for (let visit = visits.pop(); visit; visit = visits.pop()) {
    const { path, section } = visit;
    const values = Object.entries(section);
    if (values.length === 0) {
      entries.push({ section: path, key: '', text: '' });
    }
    values.forEach(([key, value]) => {
      if (isSection(value)) {
        visits.push({ path: path ? `${path}.${key}` : key, section: value });
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

/** Lines of each key, last first. */
function locateKeys(text: string): ReadonlyMap<string, readonly number[]> {
  const lines = new Map<string, readonly number[]>();
  let section = '';
  text.split(/\r\n|\r|\n/).forEach((raw, index) => {
    const line = raw.trim();
    const header = /^\[([^\]]*)\]$/.exec(line);
    if (header) {
      section = (header[1] ?? '').trim();
    } else if (line !== '' && !/^[;#]/.test(line)) {
      const key = lineKey(section, line.replace(/\s*=.*$/, ''));
      lines.set(key, [index + 1, ...(lines.get(key) ?? [])]);
    }
  });
  return lines;
}

function lineKey(section: string, key: string): string {
  return `${section}\n${key}`;
}
