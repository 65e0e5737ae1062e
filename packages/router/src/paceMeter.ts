/** Options of {@link PaceMeter.create}. */
export interface PaceMeterOptions {
  readonly nowMs: () => number;
}

/** The pace of a stream is measured over this many events after the first, or all if it has fewer. */
const MEASURED_EVENTS = 4;

/** Measures the time that a target takes for one event of a stream. */
export class PaceMeter {
  private firstAtMs: number | undefined;

  private eventsAfterFirst = 0;

  private elapsedMs = 0;

  private constructor(private readonly opts: PaceMeterOptions) {}

  /** Creates a meter at the start of a stream. */
  static create(opts: PaceMeterOptions): PaceMeter {
    return new PaceMeter(opts);
  }

  /** Time at which the first events arrived; undefined before. */
  get startedAtMs(): number | undefined {
    return this.firstAtMs;
  }

  /** Time for one event; undefined before the second. */
  get paceMs(): number | undefined {
    return this.eventsAfterFirst === 0 ? undefined : this.elapsedMs / this.eventsAfterFirst;
  }

  /** Whether later events don't change the pace. */
  get isDone(): boolean {
    return this.eventsAfterFirst >= MEASURED_EVENTS;
  }

  /** Counts events that have arrived together. */
  add(events: number): void {
    const nowMs = this.opts.nowMs();
    if (this.firstAtMs === undefined) {
      this.firstAtMs = nowMs;
      return;
    }
    if (!this.isDone) {
      this.eventsAfterFirst += events;
      this.elapsedMs = nowMs - this.firstAtMs;
    }
  }
}
