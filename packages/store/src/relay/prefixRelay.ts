import {
  type Cancel,
  type ClockReading,
  elapsedSinceMs,
  type TimerService,
} from '@galenatiller/timer';

import type { PrefixChange, PrefixEntry } from '../prefixSource.js';
import type { StatedEra } from '../statedEra.js';
import { PrefixHistory } from './prefixHistory.js';
import type { RelayRequest, RelayResponse } from './relayTypes.js';

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
  readonly waiting: Set<() => void>;
  evidenceAt: ClockReading | undefined;
  storeRevision: number;
  era: number;
  isAvailable: boolean;
}

/** Time beyond the wait of a request in which a read of the store that is in progress ends. */
const HOLD_MARGIN_MS = 200;

/** Larger responses would keep the link from its other frames; their readers ask the store. */
const MAX_RESPONSE_BYTES = 65_536;

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
        relayed.era = this.opts.storeEra.current;
      },
      onChange: (change) => {
        const before =
          change.kind === 'put' ? relayed.history.findWritten(change.entry.key) : undefined;
        const hasEffect =
          change.kind === 'delete' || !before || !opts.isEquivalent(before, change.entry);
        relayed.history.apply(change, { hasEffect });
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
    if (this.isCurrent(relayed) && request.afterRevision !== undefined) {
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
    request: RelayRequest,
    heldMs: number,
  ): RelayResponse {
    const { history, evidenceAt, storeRevision, era } = relayed;
    if (!evidenceAt) {
      return UNAVAILABLE;
    }
    const ageMs = elapsedSinceMs(this.opts.timer, evidenceAt);
    const common = { storeRevision, era, ageMs, heldMs };
    if (request.afterRevision === undefined) {
      const entries = history.all();
      return isTooLarge(entries) ? TOO_LARGE : { kind: 'entries', entries, ...common };
    }
    const changes = history.changesAfter(request.afterRevision);
    if (!changes) {
      return { kind: 'unavailable', detail: 'the changes are no longer kept' };
    }
    const entries = changes.flatMap((change) => (change.kind === 'put' ? [change.entry] : []));
    return isTooLarge(entries) ? TOO_LARGE : { kind: 'changes', changes, ...common };
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

const TOO_LARGE: RelayResponse = { kind: 'unavailable', detail: 'the response would be too large' };

function isTooLarge(entries: readonly PrefixEntry[]): boolean {
  return entries.reduce((bytes, { value }) => bytes + value.length, 0) > MAX_RESPONSE_BYTES;
}

function wake({ waiting }: RelayedPrefix): void {
  [...waiting].forEach((finish) => finish());
}
