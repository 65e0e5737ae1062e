import {
  elapsedSinceMs,
  type ClockReading,
  readClocks,
  type TimerService,
} from '@galenatiller/timer';

import { jitteredDelayMs } from './jitteredDelayMs.js';
import type {
  PrefixChange,
  PrefixChanges,
  PrefixEntry,
  PrefixSource,
  ReadFailure,
} from './prefixSource.js';

/** What a mirror tells of itself. */
export type MirrorEvent =
  | {
      readonly kind: 'read';
      readonly prefix: string;
      readonly entries: number;
      readonly storeRevision: number;
    }
  | {
      readonly kind: 'lost';
      readonly prefix: string;
      readonly detail: string;
      readonly evidenceAgeMs: number;
    }
  | { readonly kind: 'regained'; readonly prefix: string; readonly storeRevision: number }
  | { readonly kind: 'history-lost'; readonly prefix: string; readonly storeRevision: number };

/** Options of {@link PrefixMirror.create}. */
export interface PrefixMirrorOptions {
  readonly source: PrefixSource;
  readonly timer: TimerService;
  readonly prefix: string;
  /** Longest wait of one read for changes; evidence is about as old at most while the store answers. */
  readonly waitMs: number;
  /** Time beyond the wait after which a read is given up. */
  readonly answerLimitMs: number;
  /** Uniform number from 0 to 1, for jitter. */
  readonly random: () => number;
  /** Takes all entries under the prefix in place of those before. */
  readonly onEntries: (entries: readonly PrefixEntry[]) => void;
  readonly onChange: (change: PrefixChange) => void;
  readonly onEvent: (event: MirrorEvent) => void;
}

/** Two reads of one prefix within this time would be spent on the same outage. */
const RETRY_BASE_MS = 150;

/** A store that is back is noticed within this time, well inside the bounds on configuration. */
const RETRY_CAP_MS = 600;

/** Wait of a read that only asks whether the store is back. */
const PROBE_WAIT_MS = 1;

/**
 * Keeps the entries under a prefix equal to the store's, and knows how old the proof of that is.
 * The proof dates from when a read was SENT: what changed while it was on the way may be missing.
 */
export class PrefixMirror {
  private provedAt: ClockReading | undefined;

  private storeRevision = 0;

  private isLost = false;

  private failures = 0;

  private constructor(private readonly opts: PrefixMirrorOptions) {}

  /** Makes a mirror that has read nothing yet. */
  static create(opts: PrefixMirrorOptions): PrefixMirror {
    return new PrefixMirror(opts);
  }

  /** Age of the newest proof that the mirror is equal to the store; infinite before the first. */
  evidenceAgeMs(): number {
    return this.provedAt ? elapsedSinceMs(this.opts.timer, this.provedAt) : Infinity;
  }

  /** The task: reads all, then follows the changes; reads all again when history was lost. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    while (!signal.aborted) {
      const isRead = await this.readAll(signal);
      if (isRead) {
        await this.follow(signal);
      }
    }
  }

  private async readAll(signal: AbortSignal): Promise<boolean> {
    const sentAt = readClocks(this.opts.timer);
    const entries: PrefixEntry[] = [];
    let storeRevision: number | undefined;
    for (let hasMore = true; hasMore;) {
      const page = await this.limited(signal, 0, (limited) =>
        this.opts.source.readPage({
          prefix: this.opts.prefix,
          afterKey: entries.at(-1)?.key ?? '',
          signal: limited,
        }),
      );
      if (page.isErr) {
        await this.pauseAfter(page.error, signal);
        return false;
      }
      entries.push(...page.value.entries);
      // Pages are not a snapshot: changes since the first one come again when following.
      storeRevision ??= page.value.storeRevision;
      hasMore = page.value.hasMore && page.value.entries.length > 0;
    }
    this.opts.onEntries(entries);
    this.confirm(sentAt, storeRevision ?? 0);
    const { prefix } = this.opts;
    this.opts.onEvent({
      kind: 'read',
      prefix,
      entries: entries.length,
      storeRevision: this.storeRevision,
    });
    return true;
  }

  private async follow(signal: AbortSignal): Promise<void> {
    const { prefix } = this.opts;
    while (!signal.aborted) {
      // After an outage an answer at once is a proof; the wait would put it off.
      const waitMs = this.isLost ? PROBE_WAIT_MS : this.opts.waitMs;
      const sentAt = readClocks(this.opts.timer);
      const answer = await this.limited(signal, waitMs, (limited) =>
        this.opts.source.waitForChanges({
          prefix,
          afterRevision: this.storeRevision,
          waitMs,
          signal: limited,
        }),
      );
      if (answer.isOk) {
        this.take(answer.value, sentAt);
      } else if (answer.error.kind === 'history-lost') {
        this.opts.onEvent({ kind: 'history-lost', prefix, storeRevision: this.storeRevision });
        return;
      } else {
        await this.pauseAfter(answer.error, signal);
      }
    }
  }

  private take(answer: PrefixChanges, sentAt: ClockReading): void {
    answer.changes.forEach((change) => this.opts.onChange(change));
    this.confirm(sentAt, Math.max(this.storeRevision, answer.storeRevision));
  }

  private confirm(sentAt: ClockReading, storeRevision: number): void {
    this.provedAt = sentAt;
    this.storeRevision = storeRevision;
    this.failures = 0;
    if (this.isLost) {
      this.isLost = false;
      this.opts.onEvent({ kind: 'regained', prefix: this.opts.prefix, storeRevision });
    }
  }

  private async pauseAfter(failure: ReadFailure, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return;
    }
    const { prefix, timer, random } = this.opts;
    if (!this.isLost) {
      this.isLost = true;
      const { detail } = failure;
      this.opts.onEvent({ kind: 'lost', prefix, detail, evidenceAgeMs: this.evidenceAgeMs() });
    }
    const { failures } = this;
    this.failures += 1;
    const delayMs = jitteredDelayMs({
      failures,
      baseMs: RETRY_BASE_MS,
      capMs: RETRY_CAP_MS,
      random,
    });
    await timer.sleep({ delayMs, signal });
  }

  private async limited<Answer>(
    parent: AbortSignal,
    waitMs: number,
    call: (signal: AbortSignal) => Promise<Answer>,
  ): Promise<Answer> {
    const limitMs = waitMs + this.opts.answerLimitMs;
    const limit = this.opts.timer.startTimeLimit({ limitMs, parent });
    try {
      return await call(limit.signal);
    } finally {
      limit.release();
    }
  }
}
