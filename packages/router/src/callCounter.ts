/** Counts calls in flight by target. */
export class CallCounter {
  private readonly counts = new Map<string, number>();

  private constructor() {}

  /** Creates a counter at zero. */
  static create(): CallCounter {
    return new CallCounter();
  }

  /** Number of calls in flight at a target. */
  count(targetId: string): number {
    return this.counts.get(targetId) ?? 0;
  }

  /** Counts a call until the returned function is called. */
  increment(targetId: string): () => void {
    this.counts.set(targetId, this.count(targetId) + 1);
    let isReleased = false;
    return () => {
      if (isReleased) {
        return;
      }
      isReleased = true;
      const remaining = this.count(targetId) - 1;
      if (remaining > 0) {
        this.counts.set(targetId, remaining);
      } else {
        this.counts.delete(targetId);
      }
    };
  }
}
