/** Counts calls in flight by target. */
export class CallCounter {
  private readonly counts = new Map<string, number>();

  private constructor() {}

  /** Makes a counter at zero. */
  static create(): CallCounter {
    return new CallCounter();
  }

  /** Calls in flight at a target, by its id. */
  count(targetId: string): number {
    return this.counts.get(targetId) ?? 0;
  }

  /** Counts a call until the function that is given back is called. */
  increment(targetId: string): () => void {
    this.counts.set(targetId, this.count(targetId) + 1);
    let hasLeft = false;
    return () => {
      if (hasLeft) {
        return;
      }
      hasLeft = true;
      const left = this.count(targetId) - 1;
      if (left > 0) {
        this.counts.set(targetId, left);
      } else {
        this.counts.delete(targetId);
      }
    };
  }
}
