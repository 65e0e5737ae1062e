/** A router process with a real membership and real duties, on clocks of its own. */
import { Membership, PrefixRelay, StatedEra } from '@galenatiller/store';
import { type Clock, type ManualClock, TimerService } from '@galenatiller/timer';
import type { Duty } from '@galenatiller/types';
import { Result } from 'true-myth';

import { Duties, type DutyEvent } from '../src/index.js';
import type { FakeStore, StoreCaller } from './fakeStore.js';

export const LEASE_MS = 3_000;

/** The order of the candidates. */
const SCORES: Readonly<Record<string, number>> = { 'usage a': 3, 'usage b': 2, 'usage c': 1 };

/** A router process; a paused one does nothing until it is woken. */
export class FakeRouter implements StoreCaller {
  isCut = false;

  writes: StoreCaller['writes'] = 'answered';

  watchLagMs = 0;

  calls = 0;

  conditionalWrites = 0;

  wallOffsetMs = 0;

  readonly events: DutyEvent[] = [];

  readonly duties: Duties;

  readonly duty: Duty;

  readonly membership: Membership;

  private readonly storeEra = StatedEra.create({ onEvent: () => {} });

  private readonly stop = new AbortController();

  private readonly waiting: (() => void)[] = [];

  private pausedAtMs: number | undefined;

  private suspendedMs = 0;

  private constructor(
    readonly name: string,
    private readonly clock: ManualClock,
    store: FakeStore,
    wallOffsetMs: number,
  ) {
    this.wallOffsetMs = wallOffsetMs;
    const timer = TimerService.create({ clock: this.createClock() });
    const { storeEra } = this;
    const relay = PrefixRelay.create({ timer, storeEra });
    const common = { timer, storeEra, random: () => 0.5, source: store.createSource(this) };
    this.membership = Membership.create({
      ...common,
      writeIfUnchanged: () => Promise.resolve(Result.ok('written')),
      sharedWindowMs: 10_000,
      observe: (observed) => relay.observe(observed),
      leases: store.createLeases(this),
      self: { name, address: '10.0.0.1:1', cpuCores: 1, availabilityZone: 'zone' },
      onChange: (members) => this.duties.setMembers(members),
      onEvent: () => {},
    });
    this.duties = Duties.create({
      ...common,
      names: ['usage'],
      selfName: name,
      hash: (text) => SCORES[text] ?? 0,
      leaseMs: LEASE_MS,
      directSource: common.source,
      writeIfUnchanged: store.createWriter(this),
      ownLease: () => this.membership.ownLease(),
      onEvent: (event) => this.events.push(event),
      onMirrorEvent: () => {},
    });
    this.duty = this.duties.find('usage') as Duty;
  }

  static start(opts: {
    readonly name: string;
    readonly clock: ManualClock;
    readonly store: FakeStore;
    readonly wallOffsetMs?: number;
  }): FakeRouter {
    const router = new FakeRouter(opts.name, opts.clock, opts.store, opts.wallOffsetMs ?? 0);
    const { signal } = router.stop;
    Promise.all([router.membership.run({ signal }), router.duties.run({ signal })]).catch(
      (error: unknown) => {
        throw error;
      },
    );
    return router;
  }

  readonly whenRunning = (): Promise<void> =>
    this.pausedAtMs === undefined
      ? Promise.resolve()
      : new Promise((resolve) => {
          this.waiting.push(resolve);
        });

  readonly onEra = (era: number): void => this.storeEra.observe(era);

  get isPaused(): boolean {
    return this.pausedAtMs !== undefined;
  }

  pause(): void {
    this.pausedAtMs ??= this.clock.nowMs();
  }

  /** Goes on; the monotonic clock has stopped if the host was suspended. */
  wakeUp({ wasSuspended = false } = {}): void {
    if (wasSuspended) {
      this.suspendedMs += this.clock.nowMs() - (this.pausedAtMs ?? this.clock.nowMs());
    }
    this.pausedAtMs = undefined;
    this.waiting.splice(0).forEach((resume) => resume());
  }

  /** Releases the duties and then says that it leaves, as a router does that is asked to stop. */
  async leave(): Promise<void> {
    await this.duties.release();
    this.membership.startLeaving();
  }

  /** Ends the process; its lease stays until it expires. */
  kill(): void {
    this.pause();
    this.isCut = true;
    this.stop.abort();
  }

  private createClock(): Clock {
    return {
      nowMs: () => this.clock.nowMs() - this.suspendedMs,
      wallMs: () => this.clock.wallMs() + this.wallOffsetMs,
      arm: ({ delayMs, wake }) => {
        let isCancelled = false;
        const fire = (): void => {
          if (!isCancelled) {
            wake();
          }
        };
        const cancel = this.clock.arm({
          delayMs,
          wake: () => (this.isPaused ? this.waiting.push(fire) : fire()),
        });
        return () => {
          isCancelled = true;
          cancel();
        };
      },
    };
  }
}
