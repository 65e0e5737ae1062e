import type { TimerService } from '@galenatiller/timer';

/** Lets a task sleep until there is something to do. */
export class Wake {
  private notified = new AbortController();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an instance without a notification. */
  static create(opts: { readonly timer: TimerService }): Wake {
    return new Wake(opts.timer);
  }

  /** Ends the current wait, or the next one. */
  notify(): void {
    // Each call of abort would create an error for its reason.
    if (!this.notified.signal.aborted) {
      this.notified.abort();
    }
  }

  /** Waits until notified, for a time at most. */
  async wait(opts: { readonly delayMs: number; readonly signal: AbortSignal }): Promise<void> {
    const signal = AbortSignal.any([opts.signal, this.notified.signal]);
    await this.timer.sleep({ delayMs: opts.delayMs, signal });
    this.notified = new AbortController();
  }
}
