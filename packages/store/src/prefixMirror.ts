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
  ReadControl,
  ReadFailure,
  RelayedEvidence,
} from './prefixSource.js';
import { readEntries } from './readEntries.js';
import { callWithReadLimit } from './readLimit.js';
import type { MirrorObserver } from './relay/prefixRelay.js';
import type { EntryHandlers } from './restoredEntries.js';
import type { StatedEra } from './statedEra.js';

/** State changes that a mirror reports. */
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
  | {
      readonly kind: 'regained';
      readonly prefix: string;
      readonly storeRevision: number;
      /** Age of the newest evidence until then: how long the store may have been unreachable. */
      readonly evidenceAgeMs: number;
    }
  | { readonly kind: 'history-lost'; readonly prefix: string; readonly storeRevision: number }
  | { readonly kind: 'restored'; readonly prefix: string; readonly storeRevision: number };

/** Options of {@link PrefixMirror.create}. */
export interface PrefixMirrorOptions extends EntryHandlers {
  readonly source: PrefixSource;
  readonly storeEra: StatedEra;
  readonly timer: TimerService;
  readonly prefix: string;
  /**
   * Maximum wait of one read for changes; about the maximum evidence age while the store responds.
   */
  readonly waitMs: number;
  /**
   * Time allowed on top of the wait until the response to a read begins, and then for each part of it: how long
   * the whole takes depends on its size and on the link.
   */
  readonly responseMarginMs: number;
  /** Returns a uniform random number from 0 to 1, for jitter. */
  readonly random: () => number;
  readonly onEvent: (event: MirrorEvent) => void;
  /**
   * Whether the entries are at least as new as what the reader knows; a response is no evidence
   * otherwise. Always true if omitted.
   */
  readonly isCurrent?: () => boolean;
  /** Receives what is read, and says which changes have an effect; all have one if omitted. */
  readonly observer?: MirrorObserver;
  /** Time between two reads of the store itself while changes follow closely, so that one covers several. */
  readonly minIntervalMs?: number;
  /** Awaited before entries are applied; does the work for it that would hold up the event loop for long. */
  readonly prepare?: (entries: readonly PrefixEntry[]) => Promise<void>;
}

interface Confirmation {
  readonly evidenceAt: ClockReading;
  readonly isDirect: boolean;
}

/** First upper bound of the retry delay; a faster retry would most likely hit the same outage. */
const RETRY_BASE_MS = 150;

/**
 * Bounds the time until a recovered store is noticed, well within the limits on configuration age.
 */
const MAX_RETRY_DELAY_MS = 600;

/** Quick reads in a row that are not delayed, so that a single change doesn't hide the next one. */
const MAX_QUICK_READS = 2;

/** Wait of a read that only checks whether the store has recovered. */
const PROBE_WAIT_MS = 1;

/**
 * Mirrors the entries under a prefix of the store and tracks how old the evidence is that the copy
 * is current. The evidence dates from when a read was sent, because the response may lack changes
 * made while it was in transit.
 */
export class PrefixMirror {
  private confirmedAt: ClockReading | undefined;

  private storeRevision = 0;

  private isStoreLost = false;

  private failures = 0;

  /** Reads in a row that took less than the interval between two reads. */
  private quickReads = 0;

  /** Rises of the store's era that had been seen when all entries were last read. */
  private risesRead = 0;

  private constructor(private readonly opts: PrefixMirrorOptions) {}

  /** Creates a mirror that has read nothing yet. */
  static create(opts: PrefixMirrorOptions): PrefixMirror {
    return new PrefixMirror(opts);
  }

  /** Age of the newest evidence that the mirror is current; infinite before the first read. */
  evidenceAgeMs(): number {
    return this.confirmedAt ? elapsedSinceMs(this.opts.timer, this.confirmedAt) : Infinity;
  }

  /**
   * Reads all entries and follows their changes; reads all again if the change history was lost or
   * the store was restored.
   */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    while (!signal.aborted) {
      // A rise of the era cancels calls that were sent before it; their responses are never applied.
      const risen = new AbortController();
      const stopListening = this.opts.storeEra.onRise(() => risen.abort());
      await this.readAndFollow(AbortSignal.any([signal, risen.signal]));
      stopListening();
    }
  }

  private async readAndFollow(signal: AbortSignal): Promise<void> {
    const { storeEra, prefix } = this.opts;
    const { rises } = storeEra;
    const isRestored = rises > this.risesRead;
    if (isRestored) {
      this.opts.onEvent({ kind: 'restored', prefix, storeRevision: this.storeRevision });
      this.risesRead = rises;
    }
    for (let hasRead = false; !signal.aborted && !hasRead;) {
      hasRead = await this.readAll({ signal, isRestored });
    }
    if (!signal.aborted) {
      await this.follow(signal);
    }
  }

  private async readAll(opts: {
    readonly signal: AbortSignal;
    readonly isRestored: boolean;
  }): Promise<boolean> {
    const { signal, isRestored } = opts;
    const sentAt = readClocks(this.opts.timer);
    // A restored store gives out revisions again.
    const seenRevision = isRestored ? 0 : this.storeRevision;
    const read = await readEntries({
      prefix: this.opts.prefix,
      seenRevision,
      readPage: (page) =>
        this.callWithLimit(signal, 0, (control) =>
          this.opts.source.readPage({ ...page, ...control }),
        ),
    });
    if (signal.aborted) {
      return false;
    }
    if (read.isErr) {
      await this.backOff(read.error, signal);
      return false;
    }
    const { entries, storeRevision, relayed } = read.value;
    await this.opts.prepare?.(entries);
    if (signal.aborted) {
      return false;
    }
    this.apply({
      ...createConfirmation(sentAt, relayed),
      storeRevision,
      deliver: () => {
        this.opts.observer?.onEntries(entries, storeRevision);
        this.opts.onEntries(entries, { isRestored });
        this.opts.onApplied?.();
      },
    });
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
      // After an outage an immediate response is evidence; waiting for changes would delay it.
      const waitMs = this.isStoreLost ? PROBE_WAIT_MS : this.opts.waitMs;
      const sentAt = readClocks(this.opts.timer);
      const result = await this.callWithLimit(signal, waitMs, (control) =>
        this.opts.source.waitForChanges({
          prefix,
          afterRevision: this.storeRevision,
          waitMs,
          ...control,
        }),
      );
      if (signal.aborted) {
        return;
      }
      if (result.isOk) {
        await this.opts.prepare?.(listWritten(result.value.changes));
        if (signal.aborted) {
          return;
        }
        this.applyChanges(result.value, sentAt);
        if (!result.value.relayed) {
          await this.waitForInterval(sentAt, signal);
        }
      } else if (result.error.kind === 'history-lost') {
        this.opts.onEvent({ kind: 'history-lost', prefix, storeRevision: this.storeRevision });
        return;
      } else {
        await this.backOff(result.error, signal);
        if (result.error.kind === 'interrupted') {
          // The changes since then may be many versions of the same keys; all entries are only the newest ones.
          return;
        }
      }
    }
  }

  private applyChanges(received: PrefixChanges, sentAt: ClockReading): void {
    const { observer } = this.opts;
    const storeRevision = Math.max(this.storeRevision, received.storeRevision);
    const deliver = (): void => {
      received.changes
        .filter((change) => observer?.onChange(change) ?? true)
        .forEach((change) => this.opts.onChange(change));
      this.opts.onApplied?.();
    };
    if (received.hasMore) {
      this.storeRevision = storeRevision;
      deliver();
      return;
    }
    this.apply({ ...createConfirmation(sentAt, received.relayed), storeRevision, deliver });
  }

  /** Waits until the store may be read again; changes in the meantime are read together. */
  private async waitForInterval(sentAt: ClockReading, signal: AbortSignal): Promise<void> {
    const { timer, minIntervalMs = 0 } = this.opts;
    const delayMs = sentAt.monotonicMs + minIntervalMs - timer.nowMs();
    this.quickReads = delayMs > 0 ? this.quickReads + 1 : 0;
    if (this.quickReads > MAX_QUICK_READS) {
      await timer.sleep({ delayMs, signal });
    }
  }

  private apply(
    opts: Confirmation & {
      readonly storeRevision: number;
      readonly deliver: () => void;
    },
  ): void {
    const { evidenceAt, isDirect, storeRevision } = opts;
    const before = this.confirmedAt;
    // Readers learn that the store is back before they are told what it lacks.
    this.confirm(opts);
    opts.deliver();
    if (this.opts.isCurrent?.() === false) {
      this.confirmedAt = before;
      return;
    }
    this.opts.observer?.onConfirmed({ evidenceAt, storeRevision, isDirect });
  }

  private confirm(opts: Confirmation & { readonly storeRevision: number }): void {
    const { evidenceAt, storeRevision } = opts;
    const { timer } = this.opts;
    const evidenceAgeMs = this.evidenceAgeMs();
    // A relayed read may be older than the last one.
    if (!this.confirmedAt || elapsedSinceMs(timer, evidenceAt) < evidenceAgeMs) {
      this.confirmedAt = evidenceAt;
    }
    this.storeRevision = storeRevision;
    this.failures = 0;
    if (this.isStoreLost) {
      this.isStoreLost = false;
      const { prefix } = this.opts;
      this.opts.onEvent({ kind: 'regained', prefix, storeRevision, evidenceAgeMs });
    }
  }

  private async backOff(failure: ReadFailure, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return;
    }
    const { prefix, timer, random } = this.opts;
    this.opts.observer?.onLost();
    if (!this.isStoreLost) {
      this.isStoreLost = true;
      const { detail } = failure;
      this.opts.onEvent({ kind: 'lost', prefix, detail, evidenceAgeMs: this.evidenceAgeMs() });
    }
    const { failures } = this;
    this.failures += 1;
    const delayMs = jitteredDelayMs({
      failures,
      baseMs: RETRY_BASE_MS,
      maxMs: MAX_RETRY_DELAY_MS,
      random,
    });
    await timer.sleep({ delayMs, signal });
  }

  private callWithLimit<Value>(
    parent: AbortSignal,
    waitMs: number,
    call: (control: ReadControl) => Promise<Value>,
  ): Promise<Value> {
    const { timer, responseMarginMs } = this.opts;
    const limitMs = waitMs + responseMarginMs;
    return callWithReadLimit({ timer, limitMs, partLimitMs: responseMarginMs, parent, call });
  }
}

function listWritten(changes: readonly PrefixChange[]): readonly PrefixEntry[] {
  return changes.flatMap((change) => (change.kind === 'put' ? [change.entry] : []));
}

/**
 * The time that a read is evidence of: when it was sent, or for a relayed one the earliest time at
 * which the other node can have composed its response, less the age of its evidence then.
 */
function createConfirmation(
  sentAt: ClockReading,
  relayed: RelayedEvidence | undefined,
): Confirmation {
  if (!relayed) {
    return { evidenceAt: sentAt, isDirect: true };
  }
  const laterMs = relayed.heldMs - relayed.ageMs;
  const evidenceAt = {
    monotonicMs: sentAt.monotonicMs + laterMs,
    wallMs: sentAt.wallMs + laterMs,
  };
  return { evidenceAt, isDirect: false };
}
