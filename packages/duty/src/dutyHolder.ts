import { type Member, MEMBER_LEASE_MS, type OwnLease, type StatedEra } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import type { DutyHolding, DutyName } from '@galenatiller/types';

import {
  createNextEntry,
  type DutyEntry,
  hasSuccessor,
  isReleasedBy,
  type StoredDuty,
  VACANT,
} from './dutyEntry.js';
import { createToken, type SentWrite } from './createToken.js';
import type { DutyStep } from './dutyTypes.js';
import { rankCandidates } from './rankCandidates.js';

/** Options of {@link DutyHolder.create}. */
export interface DutyHolderOptions {
  readonly duty: DutyName;
  readonly selfName: string;
  readonly timer: TimerService;
  /** Hash of a text, the same on every router. */
  readonly hash: (text: string) => number;
  /** Time within which the duty must not return to a router that has lost it. */
  readonly leaseMs: number;
  readonly storeEra: Pick<StatedEra, 'rises'>;
  /** The membership lease of this router; undefined while it has none. */
  readonly ownLease: () => OwnLease | undefined;
}

/** The newest known entry. */
interface KnownDuty extends StoredDuty {
  /** False after an own write, whose revision is some higher one. */
  readonly isExact: boolean;
  /** Rises of the store's era that had been seen when it was read. */
  readonly rises: number;
}

/** A token that this router has taken. */
interface HeldToken {
  readonly token: number;
  /** The lease under which it was taken. */
  readonly generation: number;
  readonly rises: number;
  readonly sinceWallMs: number;
}

/**
 * Time before the end of its lease from which on a router no longer acts: a call that it sends then
 * may still be on its way, and its timers may fire late, when another router takes the duty.
 */
const LEASE_MARGIN_MS = 600;

/** Time by which each router lets the one before it in the order try to take the duty. */
const RANK_DELAY_MS = 500;

/** How often a router looks whether its lease is back. */
const LEASE_POLL_MS = 200;

/** Time until a router that found the holder alive asks again, unless the members change before. */
const ALIVE_RETRY_MS = 1_000;

/** Limits how often tokens are taken while calls are rejected. */
const REFUSED_WAIT_MS = 500;

const WAIT: DutyStep = { kind: 'wait', forMs: Infinity };

/**
 * Decides when this router takes a duty, and whether it may act under it. It does nothing itself: the
 * task of the duty asks for the next step and reports the results.
 */
export class DutyHolder {
  private stored: KnownDuty | undefined;

  private members: readonly Member[] = [];

  private held: HeldToken | undefined;

  /** The last write that takes a token and isn't known to have failed. */
  private sent: SentWrite | undefined;

  private takenTokens = 0;

  private highestToken = 0;

  private refusals = 0;

  /** A token above this one is wanted, although the duty is held. */
  private renewAbove = -1;

  private mustRead = false;

  /** Revision of the entry whose holder was read to be no member. */
  private goneAtRevision = -1;

  private vacantSinceMs: number | undefined;

  private hadSuccessor = false;

  /** Monotonic times before which this router doesn't write. */
  private readonly notBeforeMs = {
    succeeded: -Infinity,
    restored: -Infinity,
    alive: -Infinity,
    refused: -Infinity,
  };

  /** Whether this router surely held the duty when the store was restored. */
  private isClaimant = false;

  private hasStopped = false;

  private constructor(private readonly opts: DutyHolderOptions) {}

  /** Creates an instance that knows no entry and no members. */
  static create(opts: DutyHolderOptions): DutyHolder {
    return new DutyHolder(opts);
  }

  get name(): DutyName {
    return this.opts.duty;
  }

  /** What this router holds now; undefined unless it is sure. */
  current(): DutyHolding | undefined {
    const { held, opts } = this;
    const isHeld =
      held && !this.hasStopped && held.rises === opts.storeEra.rises && this.isBackedBy(held);
    return isHeld ? { token: held.token, epoch: this.takenTokens } : undefined;
  }

  /** The newest known entry; undefined while none was read from the store in its present state. */
  known(): DutyEntry | undefined {
    return this.stored?.rises === this.opts.storeEra.rises ? this.stored.entry : undefined;
  }

  /** Unix time in milliseconds at which this router took its token. */
  heldSinceWallMs(): number {
    return this.held?.sinceWallMs ?? 0;
  }

  /** Names of the live routers: the holder, and then those that would take the duty. */
  candidates(): readonly string[] {
    const { selfName } = this.opts;
    const entry = this.known();
    const ranked = rankCandidates({ ...this.opts, members: this.members }).filter(
      (name) => !(entry && isReleasedBy(entry, name)) && !(this.hasStopped && name === selfName),
    );
    const holder = ranked.filter((name) => name === entry?.holder);
    return [...holder, ...ranked.filter((name) => name !== entry?.holder)];
  }

  /** Whether nothing is left to be done after the stop. */
  get isReleased(): boolean {
    return this.hasStopped && !this.mustRead && this.known()?.holder !== this.opts.selfName;
  }

  setMembers(members: readonly Member[]): void {
    this.members = members;
    this.notBeforeMs.alive = -Infinity;
  }

  /** Takes the entry that a mirror has read; undefined if there is none. */
  onMirrored(read: StoredDuty | undefined): void {
    const known = this.known() && this.stored;
    if (read) {
      if (!known || read.revision > known.revision) {
        this.accept(read);
      }
    } else if (!known) {
      this.accept({ entry: VACANT, revision: 0 });
    } else if (known.revision > 0 || !known.isExact) {
      // The mirror may be older than what is known, or the entry was deleted.
      this.stored = undefined;
      this.mustRead = true;
    }
  }

  /** Takes the entry that was read from the store itself while the era had risen so often. */
  onRead(read: StoredDuty, rises: number): void {
    const known = this.known() && this.stored;
    if (rises !== this.opts.storeEra.rises) {
      return;
    }
    this.mustRead = false;
    if (!known || read.revision >= known.revision) {
      this.accept(read);
    }
  }

  /** Takes the answer to the question whether the holder of an entry lives. */
  onMemberRead(member: Member | undefined, step: { readonly member: string }): void {
    const { stored } = this;
    if (member?.leavingSince === 0) {
      this.notBeforeMs.alive = this.opts.timer.nowMs() + ALIVE_RETRY_MS;
    } else if (stored?.entry.holder === step.member) {
      this.goneAtRevision = stored.revision;
    }
  }

  /** Records a write that is about to be sent. */
  onSend({ entry, expectedRevision }: DutyStep & { readonly kind: 'write' }): void {
    const { selfName, ownLease, storeEra } = this.opts;
    if (entry.holder === selfName) {
      const { token } = entry;
      const generation = ownLease()?.generation ?? 0;
      this.sent = { token, expectedRevision, generation, rises: storeEra.rises };
      this.highestToken = Math.max(this.highestToken, token);
    }
  }

  /** Takes the answer to a write; `unknown` if none came, so that it may still be executed. */
  onWritten(
    step: DutyStep & { readonly kind: 'write' },
    opts: { readonly result: 'written' | 'changed' | 'unknown'; readonly rises: number },
  ): void {
    if (opts.rises !== this.opts.storeEra.rises) {
      return;
    }
    const { entry, expectedRevision: revision } = step;
    if (opts.result !== 'written') {
      this.mustRead = true;
    } else if (this.stored && this.stored.revision <= revision) {
      this.accept({ entry, revision }, { isExact: false });
    }
  }

  /** The store was restored: what was read before means nothing, and leases may have been lost. */
  onRestored(): void {
    const { timer, storeEra, leaseMs } = this.opts;
    const { held } = this;
    this.isClaimant = held?.rises === storeEra.rises - 1 && this.isBackedBy(held);
    this.sent = undefined;
    this.mustRead = false;
    this.goneAtRevision = -1;
    this.vacantSinceMs = undefined;
    // A holder that hasn't seen it yet acts until its lease may have ended.
    this.notBeforeMs.restored = timer.nowMs() + Math.max(leaseMs, MEMBER_LEASE_MS);
  }

  /** A call with this token was rejected, as a higher one was seen. */
  onRefused(token: number): void {
    if (this.held?.token === token) {
      this.held = undefined;
      this.sent = undefined;
      this.refusals += 1;
      this.mustRead = true;
      this.notBeforeMs.refused = this.opts.timer.nowMs() + REFUSED_WAIT_MS;
    }
  }

  /** Asks for a token above the one that is held. */
  requestRenewal(): void {
    this.renewAbove = this.held?.token ?? -1;
  }

  get isStopping(): boolean {
    return this.hasStopped;
  }

  /** Stops acting at once; the next step writes that nobody holds the duty. */
  stop(): void {
    this.hasStopped = true;
  }

  next(): DutyStep {
    const { stored, opts } = this;
    if (this.mustRead) {
      return { kind: 'read-entry' };
    }
    if (!stored || !this.known()) {
      // The mirror reads it.
      return WAIT;
    }
    const isNamed = stored.entry.holder === opts.selfName;
    if (this.hasStopped) {
      return isNamed ? this.write(stored, '') : WAIT;
    }
    return isNamed ? this.nextAsNamed(stored) : this.nextAsCandidate(stored);
  }

  /** The entry names this router: its token is valid, or has to be replaced before it acts. */
  private nextAsNamed(stored: KnownDuty): DutyStep {
    const { held } = this;
    const lease = this.opts.ownLease();
    if (this.current() && lease && held && held.token > this.renewAbove) {
      // The lease may have been renewed by then.
      return { kind: 'wait', forMs: lease.leftMs - LEASE_MARGIN_MS + 1 };
    }
    return this.takeWhenAllowed(stored);
  }

  /** Another router holds the duty, or none does. */
  private nextAsCandidate(stored: KnownDuty): DutyStep {
    const { timer, selfName } = this.opts;
    const { holder } = stored.entry;
    if (this.mayReclaim(stored)) {
      return this.takeWhenAllowed(stored);
    }
    const candidates = this.candidates();
    const rank = candidates.indexOf(selfName);
    if (rank < 0 || (holder !== '' && candidates.includes(holder))) {
      this.vacantSinceMs = undefined;
      return WAIT;
    }
    this.vacantSinceMs ??= timer.nowMs();
    const waitMs = this.vacantSinceMs + rank * RANK_DELAY_MS - timer.nowMs();
    if (waitMs > 0) {
      return { kind: 'wait', forMs: waitMs };
    }
    const step = this.takeWhenAllowed(stored);
    const mustCheck = holder !== '' && this.goneAtRevision !== stored.revision;
    // The known members may be older than the entry, which the holder may have written since.
    return step.kind === 'write' && mustCheck ? { kind: 'read-member', member: holder } : step;
  }

  private takeWhenAllowed(stored: KnownDuty): DutyStep {
    const { timer, ownLease, storeEra } = this.opts;
    const { succeeded, restored, alive, refused } = this.notBeforeMs;
    const restoredMs = this.mayReclaim(stored) ? -Infinity : restored;
    const allowedAtMs = Math.max(succeeded, alive, refused, restoredMs);
    const waitMs = this.current() ? 0 : allowedAtMs - timer.nowMs();
    const lease = ownLease();
    if (waitMs > 0) {
      return { kind: 'wait', forMs: waitMs };
    }
    if (lease?.rises !== storeEra.rises || lease.leftMs <= LEASE_MARGIN_MS) {
      return { kind: 'wait', forMs: LEASE_POLL_MS };
    }
    return this.write(stored, this.opts.selfName);
  }

  /** Whether the entry is an older copy, while no router but this one may take the duty yet. */
  private mayReclaim({ entry }: KnownDuty): boolean {
    return this.isClaimant && entry.token <= (this.held?.token ?? -1);
  }

  private write(stored: KnownDuty, holder: string): DutyStep {
    const { entry: before, revision } = stored;
    if (!stored.isExact) {
      return { kind: 'read-entry' };
    }
    const { timer, storeEra, ownLease } = this.opts;
    const token =
      holder === ''
        ? before.token
        : createToken({
            stored,
            rises: storeEra.rises,
            generation: ownLease()?.generation ?? 0,
            wallMs: timer.wallMs(),
            sent: this.sent,
            highestToken: this.highestToken,
            refusals: this.refusals,
          });
    const entry = createNextEntry({ before, holder, token });
    return { kind: 'write', entry, expectedRevision: revision };
  }

  private accept(read: StoredDuty, { isExact = true } = {}): void {
    const { timer, selfName, storeEra } = this.opts;
    const { rises } = storeEra;
    const { entry, revision } = read;
    const { sent } = this;
    this.stored = { entry, revision, isExact, rises };
    this.highestToken = Math.max(this.highestToken, entry.token);
    this.noteSuccessor(entry);
    const isOwnWrite = sent?.token === entry.token && entry.holder === selfName;
    if (sent && isOwnWrite) {
      this.held = { ...sent, sinceWallMs: timer.wallMs() };
      this.takenTokens += 1;
    }
    if (isOwnWrite || (isExact && revision !== sent?.expectedRevision)) {
      this.sent = undefined;
    }
  }

  /** Keeps this router from taking the duty soon after another one has taken it. */
  private noteSuccessor(entry: DutyEntry): void {
    const { timer, selfName, leaseMs } = this.opts;
    const isSucceeded = hasSuccessor(entry, selfName);
    if (isSucceeded && !this.hadSuccessor) {
      this.notBeforeMs.succeeded = timer.nowMs() + 2 * leaseMs;
    }
    this.hadSuccessor = isSucceeded;
  }

  /** Whether the entry has the token, and the lease under which it was taken lasts. */
  private isBackedBy({ token, generation }: HeldToken): boolean {
    const { selfName, ownLease } = this.opts;
    const entry = this.stored?.entry;
    const lease = ownLease();
    return (
      entry?.holder === selfName &&
      entry.token === token &&
      lease?.generation === generation &&
      lease.leftMs > LEASE_MARGIN_MS
    );
  }
}
