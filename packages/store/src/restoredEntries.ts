import type { TimerService } from '@galenatiller/timer';

import type { PrefixChange, PrefixEntry } from './prefixSource.js';

/** Whether entries were read from a store that was restored since the last read. */
export interface EntriesRead {
  readonly isRestored: boolean;
}

/** Receivers of the entries that a mirror reads and of their changes. */
export interface EntryHandlers {
  /** Receives all entries under the prefix, which replace those received before. */
  readonly onEntries: (entries: readonly PrefixEntry[], read: EntriesRead) => void;
  readonly onChange: (change: PrefixChange) => void;
  /** Called after all entries or changes that have arrived together. */
  readonly onApplied?: () => void;
}

/** The last known entry of a key, and what the copy has. */
export interface KnownAndRead {
  readonly known: PrefixEntry;
  /** Whether the known entry was deleted before the store was restored. */
  readonly isDeleted: boolean;
  readonly read: PrefixEntry;
}

/** A deleted entry. */
interface DeletedEntry {
  readonly entry: PrefixEntry;
  readonly atMs: number;
}

/** Options of {@link RestoredEntries.create}. */
export interface RestoredEntriesOptions {
  readonly timer: TimerService;
  readonly handlers: EntryHandlers;
  /** Time for which an entry that the copy lacks is kept, until its writer has written it again. */
  readonly keepMissingMs: number;
  /** Time for which a stale entry isn't taken, unless it is written again. */
  readonly holdStaleMs: number;
  /** Whether an entry of the copy is older than the one that was known last. */
  readonly isStale: (opts: KnownAndRead) => boolean;
}

/** Copies of the store are younger than this, so that no longer memory of deleted keys is needed. */
const DELETED_RETENTION_MS = 30_000;

/**
 * Bridges the time after the store was restored from a copy, until what was written since the copy
 * has been written again: what the copy lacks isn't deleted at once, and what was deleted since isn't
 * taken as new. An entry that is written or deleted after the read is applied at once.
 */
export class RestoredEntries {
  private readonly known = new Map<string, PrefixEntry>();

  private readonly deleted = new Map<string, DeletedEntry>();

  /** Changes that apply unless the key is written or deleted first. */
  private readonly pending = new Map<string, PrefixChange>();

  private restoredAtMs = -Infinity;

  private constructor(private readonly opts: RestoredEntriesOptions) {}

  /** Creates an instance that knows no entries. */
  static create(opts: RestoredEntriesOptions): RestoredEntries {
    return new RestoredEntries(opts);
  }

  /** Handlers for the mirror. */
  handlers(): EntryHandlers {
    return {
      onEntries: (entries, read) => this.applyRead(entries, read),
      onChange: (change) => this.applyChange(change),
      onApplied: () => this.opts.handlers.onApplied?.(),
    };
  }

  private applyRead(entries: readonly PrefixEntry[], read: EntriesRead): void {
    const nowMs = this.opts.timer.nowMs();
    if (read.isRestored) {
      this.restoredAtMs = nowMs;
    }
    this.pending.clear();
    const result = this.bridge(entries, nowMs);
    const keys = new Set(result.map(({ key }) => key));
    [...this.known.keys()].filter((key) => !keys.has(key)).forEach((key) => this.forget(key));
    result.forEach((entry) => this.known.set(entry.key, entry));
    this.opts.handlers.onEntries(result, read);
  }

  /** The entries that apply now; the others follow when their time has passed. */
  private bridge(entries: readonly PrefixEntry[], nowMs: number): readonly PrefixEntry[] {
    const keepForMs = this.restoredAtMs + this.opts.keepMissingMs - nowMs;
    const holdForMs = this.restoredAtMs + this.opts.holdStaleMs - nowMs;
    const read = new Map(entries.map((entry) => [entry.key, entry]));
    const missing = [...this.known.values()].filter(({ key }) => keepForMs > 0 && !read.has(key));
    this.applyLater(
      missing.map(({ key }) => ({ kind: 'delete', key, revision: 0 })),
      keepForMs,
    );
    const stale: PrefixChange[] = [];
    const taken = entries.flatMap((entry) => {
      if (holdForMs <= 0 || !this.isStale(entry)) {
        return [entry];
      }
      stale.push({ kind: 'put', entry });
      const known = this.known.get(entry.key);
      return known ? [known] : [];
    });
    this.applyLater(stale, holdForMs);
    return [...taken, ...missing];
  }

  private isStale(read: PrefixEntry): boolean {
    const { isStale } = this.opts;
    const known = this.known.get(read.key);
    if (known) {
      return isStale({ known, isDeleted: false, read });
    }
    const deleted = this.deleted.get(read.key);
    return deleted !== undefined && isStale({ known: deleted.entry, isDeleted: true, read });
  }

  private applyLater(changes: readonly PrefixChange[], delayMs: number): void {
    if (changes.length === 0) {
      return;
    }
    changes.forEach((change) => this.pending.set(keyOf(change), change));
    this.opts.timer.after({
      delayMs,
      notify: () => {
        changes
          .filter((change) => this.pending.get(keyOf(change)) === change)
          .forEach((change) => this.applyChange(change));
        this.opts.handlers.onApplied?.();
      },
    });
  }

  private applyChange(change: PrefixChange): void {
    const key = keyOf(change);
    this.pending.delete(key);
    if (change.kind === 'put') {
      this.known.set(key, change.entry);
    } else {
      this.forget(key);
    }
    this.opts.handlers.onChange(change);
  }

  private forget(key: string): void {
    const nowMs = this.opts.timer.nowMs();
    const entry = this.known.get(key);
    this.known.delete(key);
    this.deleted.forEach(({ atMs }, deletedKey) => {
      if (nowMs - atMs >= DELETED_RETENTION_MS) {
        this.deleted.delete(deletedKey);
      }
    });
    if (entry) {
      this.deleted.set(key, { entry, atMs: nowMs });
    }
  }
}

function keyOf(change: PrefixChange): string {
  return change.kind === 'put' ? change.entry.key : change.key;
}
