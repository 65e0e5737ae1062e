/** What the store says about a duty. */
export interface DutyEntry {
  /** Name of the router that holds the duty; empty if none does. */
  readonly holder: string;
  readonly token: number;
  /** Names of the routers that held it before the holder, the last one first. */
  readonly former: readonly string[];
}

/** An entry, and the revision that a conditional write has to expect; 0 if there is no entry. */
export interface StoredDuty {
  readonly entry: DutyEntry;
  readonly revision: number;
}

/** Stands for an entry that is missing or can't be decoded. */
export const VACANT: DutyEntry = { holder: '', token: 0, former: [] };

/** More changes of the holder don't happen within the time in which none may return. */
const MAX_FORMER = 4;

/** Creates the entry that replaces another one; an empty holder releases the duty. */
export function createNextEntry(opts: {
  readonly before: DutyEntry;
  readonly holder: string;
  readonly token: number;
}): DutyEntry {
  const { before, holder, token } = opts;
  const former = listHolders(before).filter((name) => name !== holder);
  return { holder, token, former: former.slice(0, MAX_FORMER) };
}

/** Whether another router has held the duty after the one with the name. */
export function hasSuccessor(entry: DutyEntry, name: string): boolean {
  return listHolders(entry).indexOf(name) > 0;
}

/** Whether the entry is without a holder because the router with the name released the duty. */
export function isReleasedBy(entry: DutyEntry, name: string): boolean {
  return entry.holder === '' && entry.former[0] === name;
}

function listHolders({ holder, former }: DutyEntry): readonly string[] {
  return [...new Set([holder, ...former])].filter((name) => name !== '');
}
