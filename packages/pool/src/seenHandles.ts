import type { TimerService } from '@galenatiller/timer';

/** A duplicate response arrives at most this late; its results have expired by then. */
const RETENTION_MS = 10_000;

/** Handles of earlier responses; a response that repeats one belongs to another batch call. */
export class SeenHandles {
  private readonly seenAtMs = new Map<string, number>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty record. */
  static create(opts: { readonly timer: TimerService }): SeenHandles {
    return new SeenHandles(opts.timer);
  }

  /** Records the handles of a response; false when one of them was seen before. */
  recordAndCheckNew(handles: readonly string[]): boolean {
    this.removeExpired();
    const areNew =
      new Set(handles).size === handles.length &&
      !handles.some((handle) => this.seenAtMs.has(handle));
    const nowMs = this.timer.nowMs();
    handles.forEach((handle) => this.seenAtMs.set(handle, nowMs));
    return areNew;
  }

  private removeExpired(): void {
    const sinceMs = this.timer.nowMs() - RETENTION_MS;
    // A map keeps insertion order, so the oldest handles come first.
    for (const [handle, seenAtMs] of this.seenAtMs) {
      if (seenAtMs > sinceMs) {
        return;
      }
      this.seenAtMs.delete(handle);
    }
  }
}
