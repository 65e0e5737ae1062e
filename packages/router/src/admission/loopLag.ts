/** Weight of the newest check; checks come every 100 ms, so that the mean covers about half a second. */
const NEWEST_WEIGHT = 0.2;

/** Mean lag of the event loop. */
export class LoopLag {
  private lagMs = 0;

  private constructor() {}

  /** Creates an instance without lag. */
  static create(): LoopLag {
    return new LoopLag();
  }

  /** Mean over the last checks. */
  get meanMs(): number {
    return this.lagMs;
  }

  /** Records how late a timer fired, at a fixed interval. */
  record(lagMs: number): void {
    this.lagMs += NEWEST_WEIGHT * (lagMs - this.lagMs);
  }
}
