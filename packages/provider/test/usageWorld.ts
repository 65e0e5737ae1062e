/** Routers that report usage, on one manual clock, with a store and a provider in memory. */
import { FakeProvider } from '@galenatiller/fakes';
import { ManualClock, TimerService } from '@galenatiller/timer';

import { LedgerStore } from './ledgerStore.js';
import { UsageNode, WINDOW_MS } from './usageNode.js';

export { LATE_MS, WINDOW_MS } from './usageNode.js';

export const FIRST_WINDOW = 200;

/** Several routers, of which one holds the duty. */
export class UsageFleet {
  readonly clock = ManualClock.create({ startWallMs: FIRST_WINDOW * WINDOW_MS });

  readonly timer = TimerService.create({ clock: this.clock });

  readonly store = new LedgerStore();

  readonly provider = FakeProvider.create();

  readonly nodes = new Map<string, UsageNode>();

  /** True counts, by window and organisation. */
  readonly counted = new Map<number, Map<string, number>>();

  candidates: string[] = [];

  storeDelayMs = 10;

  apiDelayMs = 20;

  readonly sentAtMs: number[] = [];

  private token = 0;

  start(name: string): UsageNode {
    const node = new UsageNode(name, this);
    this.nodes.set(name, node);
    this.candidates = [...this.candidates.filter((other) => other !== name), name];
    this.nodes.forEach((other) => other.notify());
    return node;
  }

  node(name: string): UsageNode {
    const node = this.nodes.get(name);
    if (!node) {
      throw new Error(`no router ${name}`);
    }
    return node;
  }

  /** Makes a router the holder; the one before ends its holding unless it has not noticed. */
  elect(name: string, opts: { readonly isSplit?: boolean } = {}): void {
    if (!opts.isSplit) {
      this.nodes.forEach((node) => node.holding && node.release());
    }
    this.token += 1;
    this.candidates = [name, ...this.candidates.filter((other) => other !== name)];
    this.node(name).hold(this.token);
    this.nodes.forEach((other) => other.notify());
  }

  kill(name: string): void {
    this.node(name).kill();
    this.candidates = this.candidates.filter((other) => other !== name);
    this.nodes.forEach((other) => other.notify());
  }

  /** A request of an organisation begins at a router. */
  count(name: string, organisation: string, requests = 1): void {
    const window = Math.floor(this.clock.wallMs() / WINDOW_MS);
    const counts = this.counted.get(window) ?? new Map<string, number>();
    this.counted.set(window, counts);
    counts.set(organisation, (counts.get(organisation) ?? 0) + requests);
    for (let request = 0; request < requests; request += 1) {
      this.node(name).usage.count(organisation);
    }
  }

  /** Advances to a time after the start of the first window. */
  async advanceTo(atMs: number): Promise<void> {
    await this.clock.advance({ byMs: atMs - this.clock.nowMs() });
  }

  async advance(byMs: number): Promise<void> {
    await this.clock.advance({ byMs });
  }

  /** Ends all tasks. */
  async close(): Promise<void> {
    this.nodes.forEach((node) => node.kill());
    await this.clock.advance({ byMs: 10_000 });
  }
}
