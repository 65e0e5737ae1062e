import type { TimerService } from '@galenatiller/timer';

/** A second answer to a call comes at most this late; results are gone by then. */
const REMEMBER_MS = 10_000;

/** Handles that came with earlier answers: one that comes again belongs to another call. */
export class SeenHandles {
  private readonly seenAtMs = new Map<string, number>();

  private constructor(private readonly timer: TimerService) {}

  /** Makes an empty record. */
  static create(opts: { readonly timer: TimerService }): SeenHandles {
    return new SeenHandles(opts.timer);
  }

  /** Notes the handles of an answer; false when one of them was seen before. */
  recordIfNew(handles: readonly string[]): boolean {
    this.forgetOld();
    const recordIfNew =
      new Set(handles).size === handles.length &&
      !handles.some((handle) => this.seenAtMs.has(handle));
    const nowMs = this.timer.nowMs();
    handles.forEach((handle) => this.seenAtMs.set(handle, nowMs));
    return recordIfNew;
  }

  private forgetOld(): void {
    const sinceMs = this.timer.nowMs() - REMEMBER_MS;
    // A map keeps the order of insertion, so the oldest come first.
    for (const [handle, seenAtMs] of this.seenAtMs) {
      if (seenAtMs > sinceMs) {
        return;
      }
      this.seenAtMs.delete(handle);
    }
  }
}
