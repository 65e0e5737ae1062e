/** One router that reports usage. */
import { StatedEra } from '@galenatiller/store';
import { type Clock, TimerService } from '@galenatiller/timer';
import type { Duty, DutyHolding, UsageUpdate } from '@galenatiller/types';

import {
  type ClockEvent,
  createUsage,
  type ProviderResult,
  type Usage,
  type UsageReportEvent,
} from '../src/index.js';
import type { UsageFleet } from './usageWorld.js';

export const WINDOW_MS = 5_000;
export const LATE_MS = 10_000;
const RATE_PER_S = 50;
const RANDOM = 0.5;

/** A router that counts and may be the holder. */
export class UsageNode {
  readonly events: (UsageReportEvent | ClockEvent)[] = [];

  readonly usage: Usage;

  holding: DutyHolding | undefined;

  /** Error of the wall clock. */
  wallErrorMs = 0;

  /** Time for which the host was suspended. */
  suspendedMs = 0;

  isUp = true;

  /** Whether its links to other routers are open. */
  isLinked = true;

  /** The routers that its links reach; undefined for all. */
  reachable: ReadonlySet<string> | undefined;

  readonly listeners = new Set<() => void>();

  private readonly stop = new AbortController();

  private epoch = 0;

  constructor(
    readonly name: string,
    private readonly world: UsageFleet,
  ) {
    const clock: Clock = {
      nowMs: world.clock.nowMs,
      arm: world.clock.arm,
      wallMs: () => world.clock.wallMs() + this.wallErrorMs + this.suspendedMs,
    };
    const timer = TimerService.create({ clock });
    const storeEra = StatedEra.create({ onEvent: () => {} });
    const { store } = world;
    this.usage = createUsage({
      timer,
      duty: this.createDuty(),
      router: name,
      windowMs: WINDOW_MS,
      lateMs: LATE_MS,
      ratePerS: RATE_PER_S,
      suspendedMs: () => this.suspendedMs,
      random: () => RANDOM,
      storeEra,
      client: { reportUsage: ({ report, token }) => this.report(report, token) },
      entry: {
        read: async () => {
          await timer.sleep({ delayMs: world.storeDelayMs });
          const read = store.read();
          storeEra.observe(read.isOk ? store.era : undefined);
          return read;
        },
        write: async ({ ledger, expectedRevision }) => {
          await timer.sleep({ delayMs: world.storeDelayMs });
          const end = store.write(ledger, expectedRevision);
          await timer.sleep({ delayMs: world.storeDelayMs });
          storeEra.observe(end === 'unknown' ? undefined : store.era);
          return end;
        },
      },
      sendToPeer: ({ peer, update }) => this.sendTo(peer, update),
      onEvent: (event) => this.events.push(event),
    });
    // The router reads and writes other entries all the time.
    timer.every({
      intervalMs: 900,
      notify: () => storeEra.observe(store.mode === 'away' ? undefined : store.era),
    });
    this.usage.run({ signal: this.stop.signal }).catch((error: unknown) => {
      throw error;
    });
  }

  hold(token: number): void {
    this.epoch += 1;
    this.holding = { token, epoch: this.epoch };
    this.notify();
  }

  release(): void {
    this.holding = undefined;
    this.notify();
  }

  kill(): void {
    this.isUp = false;
    this.isLinked = false;
    this.release();
    this.stop.abort();
  }

  notify(): void {
    this.listeners.forEach((listener) => listener());
  }

  private createDuty(): Duty {
    return {
      name: 'usage',
      current: () => this.holding,
      onRefused: (token) => {
        if (this.holding?.token === token) {
          this.holding = undefined;
        }
      },
      renewToken: () => Promise.resolve(false),
      candidates: () => this.world.candidates,
      onChange: (listener) => {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
      },
    };
  }

  private sendTo(peer: string, update: UsageUpdate): boolean {
    const receiver = this.world.nodes.get(peer);
    const isReached = this.reachable?.has(peer) ?? true;
    if (!this.isLinked || !isReached || !receiver?.isUp || !receiver.isLinked) {
      return false;
    }
    // Like a frame, an update is a copy that arrives later.
    const copy = JSON.parse(JSON.stringify(update)) as UsageUpdate;
    this.world.timer.after({ delayMs: 2, notify: () => receiver.usage.merge(copy) });
    return true;
  }

  private async report(
    report: { readonly window: number; readonly counts: readonly (readonly [string, number])[] },
    token: number,
  ): Promise<ProviderResult> {
    const { provider, timer, apiDelayMs } = this.world;
    const body = { window: report.window, counts: Object.fromEntries(report.counts) };
    const status = provider.receive({ path: '/usage', holder: this.name, token, body });
    await timer.sleep({ delayMs: apiDelayMs });
    this.world.sentAtMs.push(timer.nowMs());
    switch (status) {
      case 200:
        return { outcome: 'accepted', detail: '200' };
      case 409:
        return { outcome: 'superseded', detail: '409' };
      case 429:
        return { outcome: 'limited', detail: '429' };
      default:
        return { outcome: 'unknown', detail: 'no answer' };
    }
  }
}
