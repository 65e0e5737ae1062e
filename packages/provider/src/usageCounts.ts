import type { OrganisationCount, WindowCounts } from '@galenatiller/types';

interface WindowTally {
  /** Number of the last change of the window. */
  changeNumber: number;
  readonly organisations: Map<string, { requests: number; changeNumber: number }>;
}

/** Requests that began to run, by window and organisation, as counted by this router since its start. */
export class UsageCounts {
  private readonly windows = new Map<number, WindowTally>();

  private changes = 0;

  private constructor() {}

  /** Creates an instance without counts. */
  static create(): UsageCounts {
    return new UsageCounts();
  }

  /** Number of the last change. */
  get changeNumber(): number {
    return this.changes;
  }

  /** Counts a request. */
  add(opts: { readonly window: number; readonly organisation: string }): void {
    const { window, organisation } = opts;
    this.changes += 1;
    const { changes: changeNumber } = this;
    const tally = this.windows.get(window) ?? { changeNumber, organisations: new Map() };
    this.windows.set(window, tally);
    tally.changeNumber = changeNumber;
    const requests = (tally.organisations.get(organisation)?.requests ?? 0) + 1;
    tally.organisations.set(organisation, { requests, changeNumber });
  }

  /** Total counts of the organisations whose counts have changed after a change. */
  changedAfter(changeNumber: number): readonly WindowCounts[] {
    return [...this.windows]
      .filter(([, tally]) => tally.changeNumber > changeNumber)
      .map(([window, { organisations }]) => ({
        window,
        counts: [...organisations].flatMap(([name, count]): readonly OrganisationCount[] =>
          count.changeNumber > changeNumber ? [[name, count.requests]] : [],
        ),
      }));
  }

  /** Forgets the windows before one. */
  forgetBefore(window: number): void {
    [...this.windows.keys()]
      .filter((counted) => counted < window)
      .forEach((counted) => this.windows.delete(counted));
  }
}
