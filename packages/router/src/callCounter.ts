/** Counts calls by a key, such as those in flight by target. */
export class CallCounter {
  private readonly counts = new Map<string, number>();

  private constructor() {}

  /** Creates a counter at zero. */
  static create(): CallCounter {
    return new CallCounter();
  }

  /** Number of calls that are counted for a key. */
  count(key: string): number {
    return this.counts.get(key) ?? 0;
  }

  /** Counts a call until the returned function is called. */
  increment(key: string): () => void {
    this.counts.set(key, this.count(key) + 1);
    let isReleased = false;
    return () => {
      if (isReleased) {
        return;
      }
      isReleased = true;
      const remaining = this.count(key) - 1;
      if (remaining > 0) {
        this.counts.set(key, remaining);
      } else {
        this.counts.delete(key);
      }
    };
  }
}
