import type { TimerService } from '@galenatiller/timer';
import type { Result } from 'true-myth';

import { jitteredDelayMs } from './jitteredDelayMs.js';
import { type MirrorEvent, PrefixMirror } from './prefixMirror.js';
import type { PrefixSource, ReadFailure } from './prefixSource.js';

/** Leases of a store, and keys that go with them. */
export interface LeaseClient {
  readonly grant: (opts: {
    readonly ttlMs: number;
    readonly signal: AbortSignal;
  }) => Promise<Result<{ readonly leaseId: string; readonly ttlMs: number }, ReadFailure>>;
  /** Starts the time of a lease anew; `ended` when the store does not have it any more. */
  readonly keepAlive: (opts: {
    readonly leaseId: string;
    readonly signal: AbortSignal;
  }) => Promise<Result<'kept' | 'ended', ReadFailure>>;
  /** Writes a key that goes when its lease ends. */
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

/** A live node and where other nodes reach it. */
export interface Member {
  readonly name: string;
  readonly address: string;
}

/** Options of {@link Membership.create}. */
export interface MembershipOptions {
  readonly source: PrefixSource;
  readonly leases: LeaseClient;
  readonly timer: TimerService;
  readonly self: Member;
  readonly random: () => number;
  readonly onChange: (members: readonly Member[]) => void;
  readonly onEvent: (event: MirrorEvent) => void;
}

const MEMBERS_PREFIX = 'galenatiller/members/';

/** A node that was killed is forgotten within this time. */
const LEASE_TTL_MS = 3_000;

/** A renewal may be lost twice before the lease ends. */
const RENEW_MS = 900;

/** Changes are answered as they happen; the wait only bounds how often an idle read is repeated. */
const WAIT_MS = 5_000;

/** Longest time for one call, under a renewal's interval. */
const CALL_LIMIT_MS = 700;

/** Nodes that left stay in the count of nodes for this long: they may only be cut off. */
const REMEMBER_MS = 6_000;

/** Nodes to share limits with before the members are known: more than either site has. */
const UNKNOWN_COUNT = 8;

/** The live nodes, by leases in the store. */
export class Membership {
  private readonly members = new Map<string, Member>();

  private readonly lastSeenMs = new Map<string, number>();

  private readonly mirror: PrefixMirror;

  private readonly leaving = new AbortController();

  private constructor(private readonly opts: MembershipOptions) {
    this.mirror = PrefixMirror.create({
      source: opts.source,
      timer: opts.timer,
      prefix: MEMBERS_PREFIX,
      waitMs: WAIT_MS,
      answerLimitMs: CALL_LIMIT_MS,
      random: opts.random,
      onEntries: (entries) => {
        this.members.clear();
        entries.forEach(({ key, value }) => this.add(key, value));
        this.changed();
      },
      onChange: (change) => {
        if (change.kind === 'put') {
          this.add(change.entry.key, change.entry.value);
        } else {
          this.members.delete(nameOf(change.key));
        }
        this.changed();
      },
      onEvent: opts.onEvent,
    });
  }

  /** Makes a membership that knows only this node. */
  static create(opts: MembershipOptions): Membership {
    return new Membership(opts);
  }

  /** The live nodes as far as the store says. */
  liveMembers(): readonly Member[] {
    return [...this.members.values()];
  }

  /** Nodes that may be sending now, this one included; never less than the live ones. */
  countNodes(): number {
    if (this.members.size === 0) {
      return UNKNOWN_COUNT;
    }
    const sinceMs = this.opts.timer.nowMs() - REMEMBER_MS;
    const recent = [...this.lastSeenMs].filter(
      ([name, seenMs]) => this.members.has(name) || seenMs > sinceMs,
    );
    return Math.max(1, recent.length);
  }

  /** Ends this node's own membership; the others are followed on. */
  leave(): void {
    this.leaving.abort();
  }

  /** The tasks: follows the members, and keeps this node one of them. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const { signal } = opts;
    const member = AbortSignal.any([signal, this.leaving.signal]);
    await Promise.all([this.mirror.run({ signal }), this.keepSelf(member)]);
  }

  private async keepSelf(signal: AbortSignal): Promise<void> {
    const { timer, random } = this.opts;
    let leaseId: string | undefined;
    let failures = 0;
    while (!signal.aborted) {
      leaseId ??= await this.join();
      const kept = leaseId === undefined ? undefined : await this.keep(leaseId);
      if (kept === 'ended') {
        leaseId = undefined;
        continue;
      }
      failures = kept === 'kept' ? 0 : failures + 1;
      const delayMs =
        kept === 'kept'
          ? RENEW_MS
          : jitteredDelayMs({ failures, baseMs: RENEW_MS / 2, capMs: RENEW_MS * 2, random });
      await timer.sleep({ delayMs, signal });
    }
    if (leaseId !== undefined) {
      await this.endLease(leaseId);
    }
  }

  /** Undefined when the store did not answer. */
  private async keep(leaseId: string): Promise<'kept' | 'ended' | undefined> {
    const { leases } = this.opts;
    const kept = await this.limited((signal) => leases.keepAlive({ leaseId, signal }));
    return kept.isOk ? kept.value : undefined;
  }

  private async endLease(leaseId: string): Promise<void> {
    const { leases } = this.opts;
    await this.limited((signal) => leases.revoke({ leaseId, signal }));
  }

  private async join(): Promise<string | undefined> {
    const { leases, self } = this.opts;
    const granted = await this.limited((signal) => leases.grant({ ttlMs: LEASE_TTL_MS, signal }));
    if (granted.isErr) {
      return undefined;
    }
    const { leaseId } = granted.value;
    const value = Buffer.from(self.address);
    const key = `${MEMBERS_PREFIX}${self.name}`;
    const written = await this.limited((signal) => leases.put({ key, value, leaseId, signal }));
    return written.isOk && written.value === 'written' ? leaseId : undefined;
  }

  private add(key: string, value: Buffer): void {
    const name = nameOf(key);
    this.members.set(name, { name, address: value.toString('utf8') });
  }

  private changed(): void {
    const nowMs = this.opts.timer.nowMs();
    this.members.forEach((_, name) => this.lastSeenMs.set(name, nowMs));
    this.opts.onChange(this.liveMembers());
  }

  private async limited<Answer>(call: (signal: AbortSignal) => Promise<Answer>): Promise<Answer> {
    const limit = this.opts.timer.startTimeLimit({ limitMs: CALL_LIMIT_MS });
    try {
      return await call(limit.signal);
    } finally {
      limit.release();
    }
  }
}

function nameOf(key: string): string {
  return key.slice(MEMBERS_PREFIX.length);
}
