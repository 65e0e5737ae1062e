import {
  type Cancel,
  type ClockReading,
  elapsedSinceMs,
  type TimerService,
} from '@galenatiller/timer';

import type { PrefixChange, PrefixEntry } from '../prefixSource.js';
import type { StatedEra } from '../statedEra.js';
import { LargeValues } from './largeValues.js';
import { PrefixHistory } from './prefixHistory.js';
import type { RelayedChange, RelayedEntry, RelayRequest, RelayResponse } from './relayTypes.js';
import { takeFitting } from './takeFitting.js';

/** Receives what a mirror reads, before its own handlers do. */
export interface MirrorObserver {
  readonly onEntries: (entries: readonly PrefixEntry[], storeRevision: number) => void;
  /** Returns whether the change has any effect for those who read the prefix. */
  readonly onChange: (change: PrefixChange) => boolean;
  readonly onConfirmed: (opts: {
    /** When the read was sent that confirms the entries. */
    readonly evidenceAt: ClockReading;
    readonly storeRevision: number;
    /** Whether this node has read the store itself. */
    readonly isDirect: boolean;
  }) => void;
  /** Called when a read of the store has failed. */
  readonly onLost: () => void;
}

/** Options of {@link PrefixRelay.create}. */
export interface PrefixRelayOptions {
  readonly timer: TimerService;
  readonly storeEra: StatedEra;
}

interface RelayedPrefix {
  readonly history: PrefixHistory;
  readonly largeValues: LargeValues;
  readonly waiting: Set<() => void>;
  evidenceAt: ClockReading | undefined;
  storeRevision: number;
  era: number;
  isAvailable: boolean;
}

/** Time beyond the wait of a request in which a read of the store that is in progress ends. */
const HOLD_MARGIN_MS = 200;

const UNAVAILABLE: RelayResponse = { kind: 'unavailable', detail: 'no recent read of its own' };

/**
 * Passes what this node has read from the store on to other nodes, so that not every node reads it.
 * Only reads of its own are passed on, each with the age of its evidence.
 */
export class PrefixRelay {
  private readonly prefixes = new Map<string, RelayedPrefix>();

  private constructor(private readonly opts: PrefixRelayOptions) {}

  /** Creates a relay without prefixes. */
  static create(opts: PrefixRelayOptions): PrefixRelay {
    return new PrefixRelay(opts);
  }

  /** Creates the observer of the mirror of a prefix. */
  observe(opts: {
    readonly prefix: string;
    /** Whether two entries of a key mean the same for those who read them. */
    readonly isEquivalent: (before: PrefixEntry, after: PrefixEntry) => boolean;
  }): MirrorObserver {
    const relayed: RelayedPrefix = {
      history: PrefixHistory.create(),
      largeValues: LargeValues.create(),
      waiting: new Set(),
      evidenceAt: undefined,
      storeRevision: 0,
      era: 0,
      isAvailable: false,
    };
    this.prefixes.set(opts.prefix, relayed);
    return {
      onEntries: (entries, storeRevision) => {
        relayed.history.replace({ entries, storeRevision });
        const keys = new Set(entries.map(({ key }) => key));
        relayed.largeValues.retain((key) => keys.has(key));
        relayed.era = this.opts.storeEra.current;
      },
      onChange: (change) => {
        const before =
          change.kind === 'put' ? relayed.history.findWritten(change.entry.key) : undefined;
        const hasEffect =
          change.kind === 'delete' || !before || !opts.isEquivalent(before, change.entry);
        relayed.history.apply(change, { hasEffect });
        if (change.kind === 'delete') {
          relayed.largeValues.retain((key) => key !== change.key);
        }
        return hasEffect;
      },
      onConfirmed: ({ evidenceAt, storeRevision, isDirect }) => {
        relayed.evidenceAt = evidenceAt;
        relayed.storeRevision = storeRevision;
        relayed.isAvailable = isDirect;
        wake(relayed);
      },
      onLost: () => {
        relayed.isAvailable = false;
        wake(relayed);
      },
    };
  }

  /** Responds to a request of another node: at once if there is news for it, else after the next read. */
  async respond(opts: {
    readonly request: RelayRequest;
    readonly signal: AbortSignal;
  }): Promise<RelayResponse> {
    const { request, signal } = opts;
    const { timer } = this.opts;
    const relayed = this.prefixes.get(request.prefix);
    const receivedAtMs = timer.nowMs();
    if (!relayed) {
      return UNAVAILABLE;
    }
    if (request.kind === 'parts') {
      const parts = relayed.largeValues.findParts(request.digests);
      return parts.length === 0 ? PARTS_GONE : { kind: 'parts', parts };
    }
    if (this.isCurrent(relayed) && request.kind === 'changes') {
      const changes = relayed.history.changesAfter(request.afterRevision);
      if (changes?.length === 0) {
        await this.waitForRead(relayed, request.waitMs + HOLD_MARGIN_MS, signal);
      }
    }
    return this.isCurrent(relayed)
      ? this.createResponse(relayed, request, timer.nowMs() - receivedAtMs)
      : UNAVAILABLE;
  }

  /** Whether everything was read by this node, in the era that the store states now. */
  private isCurrent({ isAvailable, era }: RelayedPrefix): boolean {
    return isAvailable && era === this.opts.storeEra.current;
  }

  private createResponse(
    relayed: RelayedPrefix,
    request: Exclude<RelayRequest, { kind: 'parts' }>,
    heldMs: number,
  ): RelayResponse {
    const { history, evidenceAt, storeRevision, era } = relayed;
    if (!evidenceAt) {
      return UNAVAILABLE;
    }
    const outline = (entry: PrefixEntry): RelayedEntry => relayed.largeValues.outline(entry);
    const ageMs = elapsedSinceMs(this.opts.timer, evidenceAt);
    const common = { era, ageMs, heldMs };
    if (request.kind === 'entries') {
      const entries = history.listAfterKey(request.afterKey).map(outline);
      const { fitting, hasMore } = takeFitting(entries, (entry) => entry);
      return { kind: 'entries', entries: fitting, hasMore, storeRevision, ...common };
    }
    const changes = history.changesAfter(request.afterRevision);
    if (!changes) {
      return { kind: 'unavailable', detail: 'the changes are no longer kept' };
    }
    const { fitting, hasMore } = takeFitting(
      changes.map((change) => outlineChange(change, outline)),
      (change) => (change.kind === 'put' ? change.entry : undefined),
    );
    const passedRevision = hasMore ? findMaxRevision(fitting) : storeRevision;
    return {
      kind: 'changes',
      changes: fitting,
      hasMore,
      storeRevision: passedRevision,
      ...common,
    };
  }

  private waitForRead(relayed: RelayedPrefix, limitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      let cancel: Cancel = () => {};
      const finish = (): void => {
        cancel();
        relayed.waiting.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      cancel = this.opts.timer.after({ delayMs: limitMs, notify: finish });
      relayed.waiting.add(finish);
      signal.addEventListener('abort', finish, { once: true });
    });
  }
}

const PARTS_GONE: RelayResponse = { kind: 'unavailable', detail: 'the parts are no longer kept' };

function outlineChange(
  change: PrefixChange,
  outline: (entry: PrefixEntry) => RelayedEntry,
): RelayedChange {
  return change.kind === 'put' ? { kind: 'put', entry: outline(change.entry) } : change;
}

function findMaxRevision(changes: readonly RelayedChange[]): number {
  return changes.reduce(
    (max, change) => Math.max(max, change.kind === 'put' ? change.entry.revision : change.revision),
    0,
  );
}

function wake({ waiting }: RelayedPrefix): void {
  [...waiting].forEach((finish) => finish());
}
