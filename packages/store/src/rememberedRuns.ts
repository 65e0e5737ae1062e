import type { TimerService } from '@galenatiller/timer';

import type { RunRecord } from './runRecordTypes.js';

interface RememberedRun {
  readonly record: RunRecord;
  readonly chars: number;
  readonly atMs: number;
}

/** Longer than the age of a copy from which the store may be restored. */
const REMEMBERED_MS = 60_000;

const MAX_REMEMBERED_CHARS = 32_000_000;

/** Size of a record without its result, rounded up. */
const CLAIM_CHARS = 512;

/** The runs that ended on this node lately, because the store may lose records it has acknowledged. */
export class RememberedRuns {
  private readonly runs = new Map<string, RememberedRun>();

  private chars = 0;

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty memory. */
  static create(opts: { readonly timer: TimerService }): RememberedRuns {
    return new RememberedRuns(opts.timer);
  }

  /** Remembers the record of a run that has ended; `resultChars` is the size of its result. */
  add(key: string, record: RunRecord, resultChars = 0): void {
    this.delete(key);
    const chars = CLAIM_CHARS + resultChars;
    this.runs.set(key, { record, chars, atMs: this.timer.nowMs() });
    this.chars += chars;
    this.prune();
  }

  /** The record of a run that ended lately. */
  find(key: string): RunRecord | undefined {
    this.prune();
    return this.runs.get(key)?.record;
  }

  /** All remembered records by key. */
  list(): readonly (readonly [string, RunRecord])[] {
    this.prune();
    return [...this.runs].map(([key, { record }]) => [key, record] as const);
  }

  private delete(key: string): void {
    this.chars -= this.runs.get(key)?.chars ?? 0;
    this.runs.delete(key);
  }

  /** Forgets the oldest runs; the map is in the order in which they ended. */
  private prune(): void {
    const oldestMs = this.timer.nowMs() - REMEMBERED_MS;
    for (const [key, { atMs }] of this.runs) {
      if (atMs >= oldestMs && this.chars <= MAX_REMEMBERED_CHARS) {
        return;
      }
      this.delete(key);
    }
  }
}
