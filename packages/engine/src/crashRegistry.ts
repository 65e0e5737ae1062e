/**
 * Which contents crashed which targets.
 *
 * Gates and entries exchange the records, so that a request that crashes each target that runs it
 * is stopped after two targets, whichever entries it comes through. Merging is commutative,
 * associative and idempotent. Every request that was on a target when it crashed gets a record;
 * the guilty one is told apart because a gate runs at most one `suspect` on a target at a time.
 */
import type { TimerService } from '@galenatiller/timer';
import { groupBy } from 'fp-ts/lib/NonEmptyArray.js';

/** A target that crashed while it ran a content. */
export interface CrashRecord {
  readonly fingerprint: string;
  readonly targetName: string;
  /** Unix time of the crash. */
  readonly atWallMs: number;
}

/** Whether a content may run; a `suspect` was on one target when that crashed. */
export type CrashStatus = 'clear' | 'suspect' | 'stopped';

/** Options of {@link CrashRegistry.create}. */
export interface CrashRegistryOptions {
  readonly timer: TimerService;
  /** Age up to which a record counts. */
  readonly ttlMs?: number;
  /** Records that are kept; the newest stay. */
  readonly maxRecords?: number;
}

/** Time that a content stays stopped after its last crash. */
const DEFAULT_TTL_MS = 3_600_000;

/** Records that a ledger keeps by default; each takes about 150 bytes. */
const DEFAULT_MAX_RECORDS = 4_096;

/** Distinct targets whose crashes stop a content. */
const STOPPING_TARGETS = 2;

/** A mergeable ledger of crashes. */
export class CrashRegistry {
  /** The newest record of each fingerprint and target. */
  private newest: ReadonlyMap<string, CrashRecord> = new Map();

  private byFingerprint: ReadonlyMap<string, readonly CrashRecord[]> = new Map();

  private constructor(private readonly opts: Required<CrashRegistryOptions>) {}

  /** Makes an empty ledger. */
  static create(opts: CrashRegistryOptions): CrashRegistry {
    return new CrashRegistry({ ttlMs: DEFAULT_TTL_MS, maxRecords: DEFAULT_MAX_RECORDS, ...opts });
  }

  /** Every record that counts. */
  get records(): readonly CrashRecord[] {
    return [...this.newest.values()].filter((record) => this.counts(record));
  }

  /** Records a crash now; returns the record for others to merge. */
  record(crash: Omit<CrashRecord, 'atWallMs'>): CrashRecord {
    const record = { ...crash, atWallMs: this.opts.timer.wallMs() };
    this.merge([record]);
    return record;
  }

  /** Takes in records of others and returns those that were news; known ones change nothing. */
  merge(records: readonly CrashRecord[]): readonly CrashRecord[] {
    const news = records.filter((record) => this.isNews(record));
    if (news.length === 0) {
      return news;
    }
    const merged = new Map(this.newest);
    news.forEach((record) => {
      const known = merged.get(keyOf(record));
      if (!known || known.atWallMs < record.atWallMs) {
        merged.set(keyOf(record), record);
      }
    });
    this.newest = newestOf(merged, this.opts.maxRecords);
    this.byFingerprint = groupByFingerprint([...this.newest.values()]);
    return news;
  }

  /** Whether a content may run. */
  findStatus(fingerprint: string): CrashStatus {
    const targets = this.findRecords(fingerprint).length;
    if (targets === 0) {
      return 'clear';
    }
    return targets < STOPPING_TARGETS ? 'suspect' : 'stopped';
  }

  /** The records of one content, one for each target. */
  findRecords(fingerprint: string): readonly CrashRecord[] {
    const records = this.byFingerprint.get(fingerprint) ?? [];
    return records.filter((record) => this.counts(record));
  }

  private isNews(record: CrashRecord): boolean {
    const known = this.newest.get(keyOf(record));
    return this.counts(record) && (!known || known.atWallMs < record.atWallMs);
  }

  private counts({ atWallMs }: CrashRecord): boolean {
    return this.opts.timer.wallMs() - atWallMs < this.opts.ttlMs;
  }
}

function groupByFingerprint(
  records: readonly CrashRecord[],
): ReadonlyMap<string, readonly CrashRecord[]> {
  const groups = groupBy(({ fingerprint }: CrashRecord) => fingerprint)([...records]);
  return new Map(Object.entries(groups));
}

function keyOf({ fingerprint, targetName }: CrashRecord): string {
  return `${fingerprint} ${targetName}`;
}

/** The newest records by a total order, so that every ledger keeps the same ones. */
function newestOf(
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
