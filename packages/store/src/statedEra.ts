/** A first sighting or a rise of the era. */
export interface StatedEraEvent {
  readonly kind: 'seen' | 'risen';
  readonly era: number;
  /** Era before; undefined for the first. */
  readonly before: number | undefined;
}

/** Options of {@link StatedEra.create}. */
export interface StatedEraOptions {
  readonly onEvent: (event: StatedEraEvent) => void;
}

/**
 * The era that the store states in its responses. It rises when the store was restored from a copy
 * that may be older than what it had acknowledged; revisions and leases of earlier eras then mean
 * nothing. A lower or missing era is no rise.
 */
export class StatedEra {
  private era: number | undefined;

  private riseCount = 0;

  private readonly listeners = new Set<() => void>();

  private constructor(private readonly opts: StatedEraOptions) {}

  /** Creates an instance that knows no era yet. */
  static create(opts: StatedEraOptions): StatedEra {
    return new StatedEra(opts);
  }

  /** The highest era seen; 0 before the first. */
  get current(): number {
    return this.era ?? 0;
  }

  /** Number of rises seen; revisions read at different numbers can't be compared. */
  get rises(): number {
    return this.riseCount;
  }

  /** Takes the era of a response, before the response is used; undefined if it states none. */
  observe(era: number | undefined): void {
    const before = this.era;
    if (era === undefined || (before !== undefined && era <= before)) {
      return;
    }
    this.era = era;
    if (before === undefined) {
      this.opts.onEvent({ kind: 'seen', era, before });
      return;
    }
    this.riseCount += 1;
    this.opts.onEvent({ kind: 'risen', era, before });
    [...this.listeners].forEach((notify) => notify());
  }

  /** Calls a function at each rise; returns a function that ends that. */
  onRise(notify: () => void): () => void {
    this.listeners.add(notify);
    return () => this.listeners.delete(notify);
  }
}
