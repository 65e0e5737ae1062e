import type { OrganisationCount, UsageUpdate } from '@galenatiller/types';

type CountsByStart = Map<string, Map<string, number>>;

/** What this router has heard of the counts of all routers, itself included. */
export class UsageTotals {
  private readonly windows = new Map<number, CountsByStart>();

  private readonly closedThrough = new Map<string, number>();

  private constructor() {}

  /** Creates totals of no counts. */
  static create(): UsageTotals {
    return new UsageTotals();
  }

  /**
   * Takes what a router has counted; what is known already changes nothing. Returns whether the router
   * has closed another window.
   */
  merge(update: UsageUpdate): boolean {
    const key = JSON.stringify([update.router, update.start]);
    const hasClosed = update.closedThrough !== this.closedThrough.get(update.router);
    this.closedThrough.set(update.router, update.closedThrough);
    update.windows.forEach(({ window, counts }) => {
      const byStart: CountsByStart = this.windows.get(window) ?? new Map();
      this.windows.set(window, byStart);
      const known = byStart.get(key) ?? new Map<string, number>();
      byStart.set(key, known);
      counts.forEach(([organisation, requests]) => {
        known.set(organisation, Math.max(requests, known.get(organisation) ?? 0));
      });
    });
    return hasClosed;
  }

  /** Counts of a window over all routers, sorted by organisation. */
  sum(window: number): readonly OrganisationCount[] {
    const total = new Map<string, number>();
    this.windows.get(window)?.forEach((counts) => {
      counts.forEach((requests, organisation) => {
        total.set(organisation, (total.get(organisation) ?? 0) + requests);
      });
    });
    return [...total].sort(([left], [right]) => (left < right ? -1 : 1));
  }

  /** Whether each of these routers has said that it counts nothing more in a window. */
  isComplete(opts: { readonly window: number; readonly routers: readonly string[] }): boolean {
    return opts.routers.every(
      (router) => (this.closedThrough.get(router) ?? -Infinity) >= opts.window,
    );
  }

  /** Forgets the windows before one. */
  forgetBefore(window: number): void {
    [...this.windows.keys()]
      .filter((counted) => counted < window)
      .forEach((counted) => this.windows.delete(counted));
  }
}
