/** Routers that share a duty on the manual clock, and a record of when each of them would act. */
import { ManualClock, TimerService } from '@galenatiller/timer';

import { FakeRouter, LEASE_MS } from './fakeRouter.js';
import { FakeStore } from './fakeStore.js';

const START_WALL_MS = 1_700_000_000_000;

/** Distance of two looks at who would act. */
const LOOK_MS = 20;

/** One router would have acted with a token. */
export interface Act {
  readonly atMs: number;
  readonly router: string;
  readonly token: number;
}

export class DutyFleet {
  readonly routers = new Map<string, FakeRouter>();

  readonly acts: Act[] = [];

  readonly clock = ManualClock.create({ startWallMs: START_WALL_MS });

  readonly store = FakeStore.create(TimerService.create({ clock: this.clock }));

  private constructor() {}

  static create(): DutyFleet {
    return new DutyFleet();
  }

  /** Starts a router, or replaces the process of that name. */
  start(name: string, wallOffsetMs = 0): FakeRouter {
    const { clock, store } = this;
    this.routers.get(name)?.kill();
    const router = FakeRouter.start({ clock, store, name, wallOffsetMs });
    this.routers.set(name, router);
    return router;
  }

  get(name: string): FakeRouter {
    const router = this.routers.get(name);
    if (!router) {
      throw new Error(`no router ${name}`);
    }
    return router;
  }

  /** Lets time pass, and records who would act. */
  async advance(byMs: number): Promise<void> {
    for (let leftMs = byMs; leftMs > 0; leftMs -= LOOK_MS) {
      this.look();
      await this.clock.advance({ byMs: Math.min(leftMs, LOOK_MS) });
    }
    this.look();
  }

  look(): void {
    const atMs = this.clock.nowMs();
    this.routers.forEach((router, name) => {
      const holding = router.isPaused ? undefined : router.duty.current();
      if (holding) {
        this.acts.push({ atMs, router: name, token: holding.token });
      }
    });
  }

  /** Names of the routers that would act now. */
  holders(): readonly string[] {
    return [...this.routers.values()]
      .filter((router) => !router.isPaused && router.duty.current())
      .map(({ name }) => name);
  }

  /** The first thing that routers must not do, and did; undefined if there is none. */
  findViolation(): string | undefined {
    const users = new Map<number, string>();
    const lastActs = new Map<string, { atMs: number; index: number }>();
    let [highest, changes, before] = [0, 0, ''];
    for (const { atMs, router, token } of this.acts) {
      if ((users.get(token) ?? router) !== router) {
        return `${router} has the token ${token} of ${users.get(token)} at ${atMs} ms`;
      }
      if (token < highest) {
        return `the token ${token} of ${router} at ${atMs} ms is below ${highest}`;
      }
      changes += router === before ? 0 : 1;
      const last = lastActs.get(router);
      if (last && last.index !== changes && atMs - last.atMs < LEASE_MS) {
        return `${router} acts again at ${atMs} ms, ${atMs - last.atMs} ms after it was succeeded`;
      }
      users.set(token, router);
      lastActs.set(router, { atMs, index: changes });
      [highest, before] = [token, router];
    }
    return undefined;
  }

  /** Ends all routers. */
  end(): void {
    this.routers.forEach((router) => router.kill());
  }
}
