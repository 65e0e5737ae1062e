import type { TimerService } from '@galenatiller/timer';

import { CountedSpan } from './countedSpan.js';
import type { LeaseClient, OwnLease } from './leaseClient.js';
import {
  decodeMember,
  getMemberName,
  isLeavingEntry,
  type Member,
  MEMBER_PREFIX,
} from './member.js';
import { MEMBER_CALL_TIMEOUT_MS, MEMBER_LEASE_MS, OwnRegistration } from './ownRegistration.js';
import { type MirrorEvent, PrefixMirror } from './prefixMirror.js';
import type { PrefixRelay } from './relay/prefixRelay.js';
import type { PrefixEntry, PrefixSource, WriteIfUnchanged } from './prefixSource.js';
import { type EntryHandlers, RestoredEntries } from './restoredEntries.js';
import { StartMark } from './startMark.js';
import type { StatedEra } from './statedEra.js';

/** Options of {@link Membership.create}. */
export interface MembershipOptions {
  readonly source: PrefixSource;
  readonly leases: LeaseClient;
  readonly storeEra: StatedEra;
  readonly timer: TimerService;
  readonly self: Omit<Member, 'leavingSince'>;
  readonly random: () => number;
  readonly writeIfUnchanged: WriteIfUnchanged;
  /** Window of the limits that nodes share by their count. */
  readonly sharedWindowMs: number;
  readonly onChange: (members: readonly Member[]) => void;
  readonly onEvent: (event: MirrorEvent) => void;
  /** Creates the observer of what is read under the prefix of the members. */
  readonly observe: PrefixRelay['observe'];
}

/**
 * Changes are returned immediately; this only limits how often a read without changes is repeated.
 */
const WATCH_WAIT_MS = 5_000;

/** Many nodes may change at about the same time; their changes are read together. */
const MIN_WATCH_INTERVAL_MS = 200;

/** Live nodes register again at once when the store was restored; leases of others end within this. */
const RESTORED_LIMIT_MS = MEMBER_LEASE_MS + MEMBER_CALL_TIMEOUT_MS;

/** Nodes that are missed are still counted for this time, since they may only be disconnected. */
const DEPARTED_RETENTION_MS = 6_000;

/** Node count assumed for shared limits before the members are known; more than any site has. */
const ASSUMED_NODE_COUNT = 8;

/** Tracks the live nodes by their leases in the store, and registers this node. */
export class Membership {
  private readonly members = new Map<string, Member>();

  /** When nodes were found to be no longer members. */
  private readonly missedAtMs = new Map<string, number>();

  private isChanged = false;

  private readonly mirror: PrefixMirror;

  private readonly registration: OwnRegistration;

  private readonly startMark: StartMark;

  private readonly span: CountedSpan;

  private constructor(private readonly opts: MembershipOptions) {
    this.startMark = StartMark.create({
      ...opts,
      nodeName: opts.self.name,
      limitMs: MEMBER_CALL_TIMEOUT_MS,
    });
    this.span = CountedSpan.create({
      timer: opts.timer,
      windowMs: opts.sharedWindowMs,
      isFirstStart: () => this.startMark.isFirstStart,
    });
    this.mirror = PrefixMirror.create({
      source: opts.source,
      storeEra: opts.storeEra,
      timer: opts.timer,
      prefix: MEMBER_PREFIX,
      waitMs: WATCH_WAIT_MS,
      responseMarginMs: MEMBER_CALL_TIMEOUT_MS,
      random: opts.random,
      ...this.createHandlers(),
      onEvent: opts.onEvent,
      minIntervalMs: MIN_WATCH_INTERVAL_MS,
      observer: opts.observe({
        prefix: MEMBER_PREFIX,
        isEquivalent: (before, after) => before.value.equals(after.value),
      }),
    });
    this.registration = OwnRegistration.create({
      ...opts,
      span: this.span,
      findSelf: () => this.members.get(opts.self.name),
      evidenceAgeMs: () => this.mirror.evidenceAgeMs(),
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
    return this.countSince(DEPARTED_RETENTION_MS);
  }

  /** Number of nodes that may have sent within the shared window, including this one. */
  countNodesInWindow(): number {
    return this.countSince(this.opts.sharedWindowMs);
  }

  /**
   * Whether this node may use its share of a limit that holds for the shared window: its use is covered by the
   * count of the others, and no process before it under its name can have used the share within the window.
   */
  hasWholeShare(): boolean {
    return this.members.has(this.opts.self.name) && this.span.isWhole;
  }

  private countSince(retentionMs: number): number {
    if (this.members.size === 0) {
      return ASSUMED_NODE_COUNT;
    }
    const { name } = this.opts.self;
    const missed = this.listMissed(retentionMs);
    // This node may send as well if the store does not have it yet, or not any more.
    const isSelfCounted = this.members.has(name) || missed.includes(name);
    return this.members.size + missed.length + (isSelfCounted ? 0 : 1);
  }

  /** The lease of this node; undefined while it has none, or has lost it. */
  ownLease(): OwnLease | undefined {
    return this.registration.lease();
  }

  /** Publishes that this node is about to leave, while it still lives and is reached by the others. */
  startLeaving(): void {
    this.registration.startLeaving();
  }

  /** Ends this node's membership but keeps tracking the others. */
  leave(): void {
    this.registration.leave();
  }

  /** Tracks the members and keeps this node registered until the signal aborts. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    await Promise.all([
      this.startMark.write(),
      this.mirror.run({ signal }),
      this.registration.run({ signal }),
    ]);
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
          departed.forEach((name) => this.missedAtMs.set(name, this.opts.timer.nowMs()));
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

  private add(entry: PrefixEntry): void {
    const member = decodeMember(entry);
    this.members.set(member.name, member);
    this.missedAtMs.delete(member.name);
  }

  private remove(name: string): void {
    if (this.members.delete(name)) {
      this.missedAtMs.set(name, this.opts.timer.nowMs());
    }
  }

  private noteChange(): void {
    this.isChanged = true;
  }

  /** Nodes that have been missed for less than a time. */
  private listMissed(retentionMs: number): readonly string[] {
    if (this.missedAtMs.size === 0) {
      return [];
    }
    const sinceMs = this.opts.timer.nowMs() - retentionMs;
    return [...this.missedAtMs].filter(([, atMs]) => atMs > sinceMs).map(([name]) => name);
  }

  /** Reports changes that have arrived together once. */
  private notifyChange(): void {
    if (!this.isChanged) {
      return;
    }
    this.isChanged = false;
    const retentionMs = Math.max(DEPARTED_RETENTION_MS, this.opts.sharedWindowMs);
    const missed = new Set(this.listMissed(retentionMs));
    [...this.missedAtMs.keys()]
      .filter((name) => !missed.has(name))
      .forEach((name) => this.missedAtMs.delete(name));
    this.opts.onChange(this.liveMembers());
  }
}
