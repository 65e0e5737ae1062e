import type { SchedulableWork } from './schedulableWork.js';

type Holder = Pick<SchedulableWork, 'organisation' | 'priority'>;

interface Usage {
  readonly costMs: number;
  readonly atMs: number;
}

/** Use that is longer ago counts for less: an organisation is not held to what it used long before. */
const DECAY_MS = 5_000;

/** Organisations whose recent use is below this are forgotten. */
const MIN_COST_MS = 1;

/** Organisations that are remembered before those without recent use are removed. */
const CLEAN_UP_SIZE = 1_000;

/** What each organisation has used of a queue's capacity lately, by priority. */
export class OrganisationUsage {
  private readonly usages = new Map<string, Usage>();

  private cleanUpSize = CLEAN_UP_SIZE;

  private constructor() {}

  /** Creates an instance without use. */
  static create(): OrganisationUsage {
    return new OrganisationUsage();
  }

  /** Records work that was taken. */
  record(opts: { readonly holder: Holder; readonly costMs: number; readonly nowMs: number }): void {
    const { holder, costMs, nowMs } = opts;
    const usedMs = this.getUsedMs({ holder, nowMs });
    this.usages.set(getKey(holder), { costMs: usedMs + costMs, atMs: nowMs });
    if (this.usages.size > this.cleanUpSize) {
      this.usages.forEach((usage, key) => {
        if (decay(usage, nowMs) < MIN_COST_MS) {
          this.usages.delete(key);
        }
      });
      this.cleanUpSize = Math.max(CLEAN_UP_SIZE, 2 * this.usages.size);
    }
  }

  /** Time of everything that serves the queue which an organisation has used lately. */
  getUsedMs(opts: { readonly holder: Holder; readonly nowMs: number }): number {
    const usage = this.usages.get(getKey(opts.holder));
    return usage ? decay(usage, opts.nowMs) : 0;
  }
}

function decay({ costMs, atMs }: Usage, nowMs: number): number {
  return costMs * Math.exp((atMs - nowMs) / DECAY_MS);
}

function getKey({ priority, organisation }: Holder): string {
  return `${priority} ${organisation}`;
}
