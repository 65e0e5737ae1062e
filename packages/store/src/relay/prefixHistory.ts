import type { PrefixChange, PrefixEntry } from '../prefixSource.js';
import { MIN_SPLIT_BYTES } from './splitValue.js';

/** Changes that are kept; a reader that misses more of them reads all entries again. */
const MAX_CHANGES = 2_000;

interface KeptChange {
  readonly change: PrefixChange;
  /** The highest revision of this change and those before it. */
  readonly maxRevision: number;
}

/** The entries under a prefix, and their recent changes. */
export class PrefixHistory {
  private readonly entries = new Map<string, PrefixEntry>();

  /** Keys that were written since all entries were read. */
  private readonly writtenKeys = new Set<string>();

  private changes: KeptChange[] = [];

  /** All changes after this revision are kept. */
  private completeAfter = 0;

  private constructor() {}

  /** Creates a history without entries. */
  static create(): PrefixHistory {
    return new PrefixHistory();
  }

  /** Replaces all entries, as of a revision. */
  replace(opts: {
    readonly entries: readonly PrefixEntry[];
    readonly storeRevision: number;
  }): void {
    this.entries.clear();
    this.writtenKeys.clear();
    opts.entries.forEach((entry) => this.entries.set(entry.key, entry));
    this.changes = [];
    this.completeAfter = opts.storeRevision;
  }

  /**
   * The entry of a key as it was written last; undefined if it is only known from a read of all entries,
   * which may have come from a restored store, so that even an unchanged write is news.
   */
  findWritten(key: string): PrefixEntry | undefined {
    return this.writtenKeys.has(key) ? this.entries.get(key) : undefined;
  }

  /** Applies a change; one that has no effect for readers is not listed among the changes. */
  apply(change: PrefixChange, opts: { readonly hasEffect: boolean }): void {
    this.forgetLarge(change);
    if (change.kind === 'put') {
      this.entries.set(change.entry.key, change.entry);
      this.writtenKeys.add(change.entry.key);
    } else {
      this.writtenKeys.delete(change.key);
      this.entries.delete(change.key);
    }
    if (!opts.hasEffect) {
      return;
    }
    const maxRevision = Math.max(revisionOf(change), this.changes.at(-1)?.maxRevision ?? 0);
    this.changes.push({ change, maxRevision });
    if (this.changes.length > 2 * MAX_CHANGES) {
      const dropped = this.changes.splice(0, MAX_CHANGES);
      this.completeAfter = Math.max(this.completeAfter, dropped.at(-1)?.maxRevision ?? 0);
    }
  }

  /** The entries after a key, sorted by key; all if it is empty. */
  listAfterKey(afterKey: string): readonly PrefixEntry[] {
    return [...this.entries.values()]
      .filter(({ key }) => key > afterKey)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  /** Drops earlier writes of a large entry, which would fill the memory; only the newest one counts. */
  private forgetLarge(change: PrefixChange): void {
    const before = this.entries.get(keyOf(change));
    if (before && before.value.length >= MIN_SPLIT_BYTES) {
      this.changes = this.changes.filter(
        (kept) => kept.change.kind === 'delete' || kept.change.entry.key !== before.key,
      );
    }
  }

  /** Changes after a revision; undefined if not all of them are kept. */
  changesAfter(revision: number): readonly PrefixChange[] | undefined {
    if (revision < this.completeAfter) {
      return undefined;
    }
    // Visits only the changes that the reader lacks, since nearly all readers lack few.
    const lastKnown = this.changes.findLastIndex(({ maxRevision }) => maxRevision <= revision);
    return this.changes
      .slice(lastKnown + 1)
      .map(({ change }) => change)
      .filter((change) => revisionOf(change) > revision);
  }
}

function keyOf(change: PrefixChange): string {
  return change.kind === 'put' ? change.entry.key : change.key;
}

function revisionOf(change: PrefixChange): number {
  return change.kind === 'put' ? change.entry.revision : change.revision;
}
