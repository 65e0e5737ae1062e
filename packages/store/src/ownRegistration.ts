import {
  type ClockReading,
  elapsedSinceMs,
  readClocks,
  type TimerService,
} from '@galenatiller/timer';

import type { CountedSpan } from './countedSpan.js';
import { jitteredDelayMs } from './jitteredDelayMs.js';
import type { LeaseClient, OwnLease } from './leaseClient.js';
import { LEAVING_MARK, type Member, MEMBER_PREFIX, STAYING_MARK } from './member.js';
import type { StatedEra } from './statedEra.js';

/** Options of {@link OwnRegistration.create}. */
export interface OwnRegistrationOptions {
  readonly leases: LeaseClient;
  readonly storeEra: StatedEra;
  readonly timer: TimerService;
  readonly self: Omit<Member, 'leavingSince'>;
  /** Returns a uniform random number from 0 to 1, for jitter. */
  readonly random: () => number;
  /** The entry of this node in the store as it was last read. */
  readonly findSelf: () => Member | undefined;
  /** Age of what was last read. */
  readonly evidenceAgeMs: () => number;
  /** For how long the others have counted this node. */
  readonly span: CountedSpan;
}

/** Time after which a killed node is removed. */
export const MEMBER_LEASE_MS = 3_000;

/** Short enough that two renewals in a row may fail before the lease ends. */
const RENEW_INTERVAL_MS = 900;

/** Time limit of one call, shorter than the renewal interval. */
export const MEMBER_CALL_TIMEOUT_MS = 700;

/** Time limit of the last call: a node must not end later because the store is away. */
const LEAVE_TIMEOUT_MS = 250;

type Mark = typeof LEAVING_MARK | typeof STAYING_MARK;

interface HeldLease {
  readonly leaseId: string;
  /** Rises of the store's era that had been seen when it was granted. */
  readonly rises: number;
  readonly ttlMs: number;
  /** When the last successful renewal, or the request for the lease, was sent. */
  readonly sentAt: ClockReading;
}

/** The entry that this node has written. */
interface Published {
  readonly mark: Mark;
  /** When the answer to the write came; what is read after it has the entry. */
  readonly atClocks: ClockReading;
}

/** Keeps the entry of this node in the store, by a lease that it renews. */
export class OwnRegistration {
  private readonly leaving = new AbortController();

  private readonly left = new AbortController();

  private held: HeldLease | undefined;

  private published: Published | undefined;

  private generation = 0;

  private constructor(private readonly opts: OwnRegistrationOptions) {}

  /** Creates the registration of a node that is not registered yet. */
  static create(opts: OwnRegistrationOptions): OwnRegistration {
    return new OwnRegistration(opts);
  }

  /** The lease of this node; undefined while it has none, or no entry that is attached to it. */
  lease(): OwnLease | undefined {
    if (!this.held || !this.published) {
      return undefined;
    }
    const { rises, ttlMs, sentAt } = this.held;
    const leftMs = ttlMs - elapsedSinceMs(this.opts.timer, sentAt);
    return { generation: this.generation, rises, leftMs };
  }

  /** Publishes that this node is about to leave, while it still lives and is reached by the others. */
  startLeaving(): void {
    this.leaving.abort();
  }

  /** Ends the registration. */
  leave(): void {
    this.left.abort();
  }

  /** Keeps this node registered until the signal aborts or it leaves. */
  async run(opts: { readonly signal: AbortSignal }): Promise<void> {
    const signal = AbortSignal.any([opts.signal, this.left.signal]);
    let failures = 0;
    while (!signal.aborted) {
      const isLeaving = this.leaving.signal.aborted;
      // A restored store may have lost the lease, and given its id to another node since.
      if (!this.isHeld()) {
        await this.requestLease();
      }
      this.noticeLostEntry();
      const mark = isLeaving ? LEAVING_MARK : STAYING_MARK;
      if (this.held && this.published?.mark !== mark) {
        await this.publish(this.held, mark);
      }
      const renewal = await this.renew();
      if (renewal === 'ended') {
        continue;
      }
      failures = renewal === 'kept' && this.published?.mark === mark ? 0 : failures + 1;
      await this.sleepUntilRenewal({ failures, isLeaving, signal });
    }
    await this.endLease();
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

  private isHeld(): boolean {
    return this.held?.rises === this.opts.storeEra.rises;
  }

  private drop(): void {
    this.held = undefined;
    this.published = undefined;
  }

  private async requestLease(): Promise<void> {
    const { leases, storeEra, timer } = this.opts;
    this.drop();
    const { rises } = storeEra;
    const sentAt = readClocks(timer);
    const granted = await this.callWithTimeout((signal) =>
      leases.grant({ ttlMs: MEMBER_LEASE_MS, signal }),
    );
    if (granted.isOk) {
      const { leaseId, ttlMs } = granted.value;
      this.held = { leaseId, rises, ttlMs: Math.min(MEMBER_LEASE_MS, ttlMs), sentAt };
    }
  }

  /**
   * Notices that the entry was removed, or its mark replaced, after this node had written it: by a late
   * write, of this node or of its process before a restart.
   */
  private noticeLostEntry(): void {
    const { timer, findSelf, evidenceAgeMs, self } = this.opts;
    const { published } = this;
    if (!published || evidenceAgeMs() >= elapsedSinceMs(timer, published.atClocks)) {
      return;
    }
    const found = findSelf();
    const isOwn = found?.address === self.address;
    const mark = found && found.leavingSince > 0 ? LEAVING_MARK : STAYING_MARK;
    if (!found || (isOwn && mark !== published.mark)) {
      this.published = undefined;
    }
  }

  /**
   * Writes the entry of this node. One that was not answered may still be done much later, so the lease is
   * kept and the same entry is written again: the late write then changes nothing.
   */
  private async publish({ leaseId }: HeldLease, mark: Mark): Promise<void> {
    const { leases, self, timer } = this.opts;
    const value = Buffer.from(`${self.address} ${self.cpuCores} ${mark} ${self.availabilityZone}`);
    const key = `${MEMBER_PREFIX}${self.name}`;
    const written = await this.callWithTimeout((signal) =>
      leases.put({ key, value, leaseId, signal }),
    );
    if (written.isOk && written.value === 'written') {
      // Without an entry, this node may not have been a member.
      this.generation += this.published ? 0 : 1;
      this.published = { mark, atClocks: readClocks(timer) };
      this.opts.span.confirm();
    } else if (written.isOk) {
      this.drop();
    }
  }

  /** Renews the lease; undefined if there is none or the store did not respond. */
  private async renew(): Promise<'kept' | 'ended' | undefined> {
    const { held } = this;
    if (!held) {
      return undefined;
    }
    const { leaseId } = held;
    const { leases, timer } = this.opts;
    const sentAt = readClocks(timer);
    const renewal = this.isHeld()
      ? await this.callWithTimeout((signal) => leases.keepAlive({ leaseId, signal }))
      : undefined;
    if (!this.isHeld() || (renewal?.isOk && renewal.value === 'ended')) {
      this.drop();
      return 'ended';
    }
    if (renewal?.isOk) {
      this.held = { ...held, sentAt };
      if (this.published) {
        this.opts.span.confirm();
      }
    }
    return renewal?.isOk ? renewal.value : undefined;
  }

  private async endLease(): Promise<void> {
    const { leases } = this.opts;
    const leaseId = this.isHeld() ? this.held?.leaseId : undefined;
    this.drop();
    if (leaseId !== undefined) {
      await this.callWithTimeout((signal) => leases.revoke({ leaseId, signal }), LEAVE_TIMEOUT_MS);
    }
  }

  private async callWithTimeout<Value>(
    call: (signal: AbortSignal) => Promise<Value>,
    limitMs = MEMBER_CALL_TIMEOUT_MS,
  ): Promise<Value> {
    const timeLimit = this.opts.timer.startTimeLimit({ limitMs });
    try {
      return await call(timeLimit.signal);
    } finally {
      timeLimit.release();
    }
  }
}
