/**
 * Records which request contents were running on which targets when those crashed.
 *
 * Gates and entries exchange the records, so that a request that crashes every target it runs on is
 * stopped after two targets, whichever entries it comes through. Merging is commutative,
 * associative and idempotent. Every request that was running on a target when it crashed gets a
 * record. The one at fault can be identified because a gate runs at most one `suspect` on a target
 * at a time.
 */
import type { TimerService } from '@galenatiller/timer';
import { groupBy } from 'fp-ts/lib/NonEmptyArray.js';

/** A target that crashed while it ran a request with this content. */
export interface CrashRecord {
  readonly fingerprint: string;
  readonly targetName: string;
  /** Unix time of the crash. */
  readonly atWallMs: number;
}

/** Whether a content may run; a `suspect` was running on one target when it crashed. */
export type CrashStatus = 'clear' | 'suspect' | 'stopped';

/** Options of {@link CrashRegistry.create}. */
export interface CrashRegistryOptions {
  readonly timer: TimerService;
  /** Age at which a record expires. */
  readonly ttlMs?: number;
  /** Maximum number of records; the newest are kept. */
  readonly maxRecords?: number;
}

/** Time that a content stays stopped after its last crash. */
const DEFAULT_TTL_MS = 3_600_000;

/** Default maximum number of records; each takes about 150 bytes. */
const DEFAULT_MAX_RECORDS = 4_096;

/** Number of distinct crashed targets after which a content is stopped. */
const CRASHED_TARGETS_UNTIL_STOPPED = 2;

/** A mergeable set of crash records. */
export class CrashRegistry {
  /** The newest record of each fingerprint and target. */
  private newest: ReadonlyMap<string, CrashRecord> = new Map();

  private byFingerprint: ReadonlyMap<string, readonly CrashRecord[]> = new Map();

  private constructor(private readonly opts: Required<CrashRegistryOptions>) {}

  /** Creates an empty registry. */
  static create(opts: CrashRegistryOptions): CrashRegistry {
    return new CrashRegistry({ ttlMs: DEFAULT_TTL_MS, maxRecords: DEFAULT_MAX_RECORDS, ...opts });
  }

  /** All records that have not expired. */
  get records(): readonly CrashRecord[] {
    return [...this.newest.values()].filter((record) => this.isCurrent(record));
  }

  /** Records a crash that happens now; returns the record for other nodes to merge. */
  record(crash: Omit<CrashRecord, 'atWallMs'>): CrashRecord {
    const record = { ...crash, atWallMs: this.opts.timer.wallMs() };
    this.merge([record]);
    return record;
  }

  /** Merges records of other nodes and returns those that were new; known ones change nothing. */
  merge(records: readonly CrashRecord[]): readonly CrashRecord[] {
    const newRecords = records.filter((record) => this.isNew(record));
    if (newRecords.length === 0) {
      return newRecords;
    }
    const merged = new Map(this.newest);
    newRecords.forEach((record) => {
      const known = merged.get(createKey(record));
      if (!known || known.atWallMs < record.atWallMs) {
        merged.set(createKey(record), record);
      }
    });
    this.newest = keepNewest(merged, this.opts.maxRecords);
    this.byFingerprint = groupByFingerprint([...this.newest.values()]);
    return newRecords;
  }

  /** Status of a content by its crashes. */
  findStatus(fingerprint: string): CrashStatus {
    const targets = this.findRecords(fingerprint).length;
    if (targets === 0) {
      return 'clear';
    }
    return targets < CRASHED_TARGETS_UNTIL_STOPPED ? 'suspect' : 'stopped';
  }

  /** The unexpired records of one content, one per target. */
  findRecords(fingerprint: string): readonly CrashRecord[] {
    const records = this.byFingerprint.get(fingerprint) ?? [];
    return records.filter((record) => this.isCurrent(record));
  }

  private isNew(record: CrashRecord): boolean {
    const known = this.newest.get(createKey(record));
    return this.isCurrent(record) && (!known || known.atWallMs < record.atWallMs);
  }

  private isCurrent({ atWallMs }: CrashRecord): boolean {
    return this.opts.timer.wallMs() - atWallMs < this.opts.ttlMs;
  }
}

function groupByFingerprint(
  records: readonly CrashRecord[],
): ReadonlyMap<string, readonly CrashRecord[]> {
  const groups = groupBy(({ fingerprint }: CrashRecord) => fingerprint)([...records]);
  return new Map(Object.entries(groups));
}

function createKey({ fingerprint, targetName }: CrashRecord): string {
  return `${fingerprint} ${targetName}`;
}

/** The newest records by a total order, so that every registry keeps the same ones. */
function keepNewest(
  records: ReadonlyMap<string, CrashRecord>,
  limit: number,
): ReadonlyMap<string, CrashRecord> {
  if (records.size <= limit) {
    return records;
  }
  const sorted = [...records].sort(
    ([leftKey, left], [rightKey, right]) =>
      right.atWallMs - left.atWallMs || (leftKey < rightKey ? -1 : 1),
  );
  return new Map(sorted.slice(0, limit));
}
