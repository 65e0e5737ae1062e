import {
  type ClockReading,
  elapsedSinceMs,
  readClocks,
  type TimerService,
} from '@galenatiller/timer';
import type { Result } from 'true-myth';

import { jitteredDelayMs } from './jitteredDelayMs.js';
import {
  decodeMember,
  getMemberName,
  isLeavingEntry,
  LEAVING_MARK,
  type Member,
  MEMBER_PREFIX,
  STAYING_MARK,
} from './member.js';
import { type MirrorEvent, PrefixMirror } from './prefixMirror.js';
import type { PrefixRelay } from './relay/prefixRelay.js';
import type { PrefixEntry, PrefixSource, ReadFailure } from './prefixSource.js';
import { type EntryHandlers, RestoredEntries } from './restoredEntries.js';
import type { StatedEra } from './statedEra.js';

/** Creates leases in the store and the keys attached to them. */
export interface LeaseClient {
  readonly grant: (opts: {
    readonly ttlMs: number;
    readonly signal: AbortSignal;
  }) => Promise<Result<{ readonly leaseId: string; readonly ttlMs: number }, ReadFailure>>;
  /** Renews a lease; `ended` if the store no longer has it. */
  readonly keepAlive: (opts: {
    readonly leaseId: string;
    readonly signal: AbortSignal;
  }) => Promise<Result<'kept' | 'ended', ReadFailure>>;
  /** Writes a key that is deleted when its lease ends. */
  readonly put: (opts: {
    readonly key: string;
    readonly value: Buffer;
    readonly leaseId: string;
    readonly signal: AbortSignal;
  }) => Promise<Result<'written' | 'ended', ReadFailure>>;
  readonly revoke: (opts: {
    readonly leaseId: string;
    readonly signal: AbortSignal;
  }) => Promise<void>;
}

/** The lease of this node, as far as it is known to be kept. */
export interface OwnLease {
  /** Rises with each lease; the node may not have been a member between two leases. */
  readonly generation: number;
  /** Rises of the store's era that had been seen when it was granted. */
  readonly rises: number;
  /** Time for which the lease surely lasts, from when the last successful renewal was sent. */
  readonly leftMs: number;
}

/** Options of {@link Membership.create}. */
export interface MembershipOptions {
  readonly source: PrefixSource;
  readonly leases: LeaseClient;
  readonly storeEra: StatedEra;
  readonly timer: TimerService;
  readonly self: Omit<Member, 'leavingSince'>;
  readonly random: () => number;
  readonly onChange: (members: readonly Member[]) => void;
  readonly onEvent: (event: MirrorEvent) => void;
  /** Creates the observer of what is read under the prefix of the members. */
  readonly observe: PrefixRelay['observe'];
}

/** Time after which a killed node is removed. */
export const MEMBER_LEASE_MS = 3_000;

/** Short enough that two renewals in a row may fail before the lease ends. */
const RENEW_INTERVAL_MS = 900;

/**
 * Changes are returned immediately; this only limits how often a read without changes is repeated.
 */
const WATCH_WAIT_MS = 5_000;

/** Many nodes may change at about the same time; their changes are read together. */
const MIN_WATCH_INTERVAL_MS = 200;

/** Time limit of one call, shorter than the renewal interval. */
const CALL_TIMEOUT_MS = 700;

/** Time limit of the last call: a node must not end later because the store is away. */
const LEAVE_TIMEOUT_MS = 250;

/** Live nodes register again at once when the store was restored; leases of others end within this. */
const RESTORED_LIMIT_MS = MEMBER_LEASE_MS + CALL_TIMEOUT_MS;

/** A lease, and the rises of the store's era that had been seen when it was granted. */
interface HeldLease {
  readonly leaseId: string;
  readonly rises: number;
}

/** The last successful renewal of the own lease, or its grant. */
interface RenewedLease {
  readonly generation: number;
  readonly rises: number;
  readonly ttlMs: number;
  readonly sentAt: ClockReading;
}

/** Nodes that left are still counted for this time, since they may only be disconnected. */
const DEPARTED_RETENTION_MS = 6_000;

/** Node count assumed for shared limits before the members are known; more than any site has. */
const ASSUMED_NODE_COUNT = 8;

/** Tracks the live nodes by their leases in the store, and registers this node. */
export class Membership {
  private readonly members = new Map<string, Member>();

  /** When nodes that are no longer members were seen last. */
  private readonly departedSeenMs = new Map<string, number>();

  /** Time of the last change; all nodes that were members after it were seen then. */
  private changedAtMs = 0;

  private isChanged = false;

  private readonly mirror: PrefixMirror;

  private readonly leaving = new AbortController();

  private readonly left = new AbortController();

  private renewed: RenewedLease | undefined;

  private generation = 0;

  private constructor(private readonly opts: MembershipOptions) {
    this.mirror = PrefixMirror.create({
      source: opts.source,
      storeEra: opts.storeEra,
      timer: opts.timer,
      prefix: MEMBER_PREFIX,
      waitMs: WATCH_WAIT_MS,
      responseMarginMs: CALL_TIMEOUT_MS,
      random: opts.random,
      ...this.createHandlers(),
      onEvent: opts.onEvent,
      minIntervalMs: MIN_WATCH_INTERVAL_MS,
      observer: opts.observe({
        prefix: MEMBER_PREFIX,
        isEquivalent: (before, after) => before.value.equals(after.value),
      }),
    });
  }

  /** Creates a membership that knows no members yet. */
  static create(opts: MembershipOptions): Membership {
    return new Membership(opts);
  }

  /** The live nodes according to the store. */
  liveMembers(): readonly Member[] {
    return [...this.members.values()];
  }

  /** Number of nodes that may be sending now, including this one; at least the live ones. */
  countNodes(): number {
    if (this.members.size === 0) {
      return ASSUMED_NODE_COUNT;
    }
    const sinceMs = this.opts.timer.nowMs() - DEPARTED_RETENTION_MS;
    const departed = [...this.departedSeenMs.values()].filter((seenMs) => seenMs > sinceMs);
    return Math.max(1, this.members.size + departed.length);
  }

  /** The lease of this node; undefined while it has none, or has lost it. */
  ownLease(): OwnLease | undefined {
    if (!this.renewed) {
      return undefined;
    }
    const { generation, rises, ttlMs, sentAt } = this.renewed;
    return { generation, rises, leftMs: ttlMs - elapsedSinceMs(this.opts.timer, sentAt) };
  }

  /** Publishes that this node is about to leave, while it still lives and is reached by the others. */
  startLeaving(): void {
    this.leaving.abort();
  }

  /** Ends this node's membership but keeps tracking the others. */
  leave(): void {
    this.left.abort();
  }

  /** Tracks the members and keeps this node registered until the signal aborts. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    const ownSignal = AbortSignal.any([signal, this.left.signal]);
    await Promise.all([this.mirror.run({ signal }), this.maintainOwnMembership(ownSignal)]);
  }

  private createHandlers(): EntryHandlers {
    const restored = RestoredEntries.create({
      timer: this.opts.timer,
      keepMissingMs: RESTORED_LIMIT_MS,
      holdStaleMs: RESTORED_LIMIT_MS,
      isStale: ({ known, isDeleted, read }) =>
        isDeleted || (isLeavingEntry(known) && !isLeavingEntry(read)),
      handlers: {
        onEntries: (entries) => {
          const kept = new Set(entries.map(({ key }) => getMemberName(key)));
          const departed = [...this.members.keys()].filter((name) => !kept.has(name));
          departed.forEach((name) => this.departedSeenMs.set(name, this.changedAtMs));
          this.members.clear();
          entries.forEach((entry) => this.add(entry));
          this.noteChange();
        },
        onChange: (change) => {
          if (change.kind === 'put') {
            this.add(change.entry);
          } else {
            this.remove(getMemberName(change.key));
          }
          this.noteChange();
        },
        onApplied: () => this.notifyChange(),
      },
    });
    return restored.handlers();
  }

  private async maintainOwnMembership(signal: AbortSignal): Promise<void> {
    let lease: HeldLease | undefined;
    let failures = 0;
    let isPublished = false;
    while (!signal.aborted) {
      const isLeaving = this.leaving.signal.aborted;
      // A restored store may have lost the lease, and given its id to another node since.
      lease = this.isHeld(lease) ? lease : await this.register();
      if (lease && isLeaving && !isPublished) {
        isPublished = await this.publish(lease.leaseId);
      }
      const renewal = await this.renew(lease);
      if (renewal === 'ended') {
        lease = undefined;
        continue;
      }
      failures = renewal === 'kept' ? 0 : failures + 1;
      await this.sleepUntilRenewal({ failures, isLeaving, signal });
    }
    if (lease && this.isHeld(lease)) {
      await this.endLease(lease.leaseId);
    }
  }

  /** Sleeps until the lease has to be renewed, a restored store is seen, or this node begins to leave. */
  private async sleepUntilRenewal(opts: {
    readonly failures: number;
    readonly isLeaving: boolean;
    readonly signal: AbortSignal;
  }): Promise<void> {
    const { failures, isLeaving, signal } = opts;
    const { timer, random, storeEra } = this.opts;
    const baseMs = RENEW_INTERVAL_MS / 2;
    const maxMs = RENEW_INTERVAL_MS * 2;
    const delayMs =
      failures === 0 ? RENEW_INTERVAL_MS : jitteredDelayMs({ failures, baseMs, maxMs, random });
    const risen = new AbortController();
    const stopListening = storeEra.onRise(() => risen.abort());
    const wakers = isLeaving ? [] : [this.leaving.signal];
    await timer.sleep({ delayMs, signal: AbortSignal.any([signal, risen.signal, ...wakers]) });
    stopListening();
  }

  private isHeld(lease: HeldLease | undefined): boolean {
    return lease?.rises === this.opts.storeEra.rises;
  }

  /** Renews the lease; undefined if there is none or the store did not respond. */
  private async renew(lease: HeldLease | undefined): Promise<'kept' | 'ended' | undefined> {
    if (!lease) {
      return undefined;
    }
    const { leaseId } = lease;
    const { leases, timer } = this.opts;
    const sentAt = readClocks(timer);
    const renewal = this.isHeld(lease)
      ? await this.callWithTimeout((signal) => leases.keepAlive({ leaseId, signal }))
      : undefined;
    if (!this.isHeld(lease) || (renewal?.isOk && renewal.value === 'ended')) {
      this.renewed = undefined;
      return 'ended';
    }
    if (renewal?.isOk && this.renewed) {
      this.renewed = { ...this.renewed, sentAt };
    }
    return renewal?.isOk ? renewal.value : undefined;
  }

  private async endLease(leaseId: string): Promise<void> {
    const { leases } = this.opts;
    this.renewed = undefined;
    await this.callWithTimeout((signal) => leases.revoke({ leaseId, signal }), LEAVE_TIMEOUT_MS);
  }

  private async register(): Promise<HeldLease | undefined> {
    const { leases, storeEra } = this.opts;
    const { rises } = storeEra;
    const sentAt = readClocks(this.opts.timer);
    const granted = await this.callWithTimeout((signal) =>
      leases.grant({ ttlMs: MEMBER_LEASE_MS, signal }),
    );
    if (granted.isErr) {
      return undefined;
    }
    const { leaseId, ttlMs: grantedMs } = granted.value;
    if (!(await this.publish(leaseId))) {
      return undefined;
    }
    this.generation += 1;
    const ttlMs = Math.min(MEMBER_LEASE_MS, grantedMs);
    this.renewed = { generation: this.generation, rises, ttlMs, sentAt };
    return { leaseId, rises };
  }

  /** Writes the entry of this node; false if the store did not. */
  private async publish(leaseId: string): Promise<boolean> {
    const { leases, self } = this.opts;
    const mark = this.leaving.signal.aborted ? LEAVING_MARK : STAYING_MARK;
    const value = Buffer.from(`${self.address} ${self.cpuCores} ${mark} ${self.availabilityZone}`);
    const key = `${MEMBER_PREFIX}${self.name}`;
    const written = await this.callWithTimeout((signal) =>
      leases.put({ key, value, leaseId, signal }),
    );
    return written.isOk && written.value === 'written';
  }

  private add(entry: PrefixEntry): void {
    const member = decodeMember(entry);
    this.members.set(member.name, member);
    this.departedSeenMs.delete(member.name);
  }

  private remove(name: string): void {
    if (this.members.delete(name)) {
      this.departedSeenMs.set(name, this.changedAtMs);
    }
  }

  private noteChange(): void {
    this.changedAtMs = this.opts.timer.nowMs();
    this.isChanged = true;
  }

  /** Reports changes that have arrived together once. */
  private notifyChange(): void {
    if (!this.isChanged) {
      return;
    }
    this.isChanged = false;
    const sinceMs = this.changedAtMs - DEPARTED_RETENTION_MS;
    this.departedSeenMs.forEach((seenMs, name) => {
      if (seenMs <= sinceMs) {
        this.departedSeenMs.delete(name);
      }
    });
    this.opts.onChange(this.liveMembers());
  }

  private async callWithTimeout<Value>(
    call: (signal: AbortSignal) => Promise<Value>,
    limitMs = CALL_TIMEOUT_MS,
  ): Promise<Value> {
    const timeLimit = this.opts.timer.startTimeLimit({ limitMs });
    try {
      return await call(timeLimit.signal);
    } finally {
      timeLimit.release();
    }
  }
}
