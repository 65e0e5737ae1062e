import type { Cancel, Clock } from './clock.js';

/** Options of {@link TimerService.after}. */
export interface AfterOptions {
  readonly delayMs: number;
  readonly notify: () => void;
}

/** Options of {@link TimerService.every}. */
export interface EveryOptions {
  readonly intervalMs: number;
  readonly notify: () => void;
}

/** Options of {@link TimerService.sleep}. */
export interface SleepOptions {
  readonly delayMs: number;
  /** Ends the sleep early; the promise resolves in that case too. */
  readonly signal?: AbortSignal;
}

/** A signal that aborts when the time is up; `release` frees its timer. */
export interface TimeLimit {
  readonly signal: AbortSignal;
  readonly release: Cancel;
}

/** A time limit that can be put off while it has not ended. */
export interface ExtendableTimeLimit extends TimeLimit {
  /** Leaves at least this much time from now on. */
  readonly extend: (opts: { readonly leftMs: number }) => void;
}

/** The only source of time in a process; all components use it. */
export class TimerService {
  private constructor(private readonly clock: Clock) {}

  /** Creates a timer service on a clock. */
  static create(opts: { readonly clock: Clock }): TimerService {
    return new TimerService(opts.clock);
  }

  /** Monotonic time in milliseconds. */
  nowMs(): number {
    return this.clock.nowMs();
  }

  /** Unix time in milliseconds. */
  wallMs(): number {
    return this.clock.wallMs();
  }

  /** Calls `notify` once after a delay. */
  after(opts: AfterOptions): Cancel {
    return this.clock.arm({ delayMs: opts.delayMs, wake: opts.notify });
  }

  /** Calls `notify` at each interval until cancelled. */
  every(opts: EveryOptions): Cancel {
    let cancel: Cancel = () => {};
    const rearm = (): void => {
      cancel = this.clock.arm({ delayMs: opts.intervalMs, wake: onWake });
    };
    const onWake = (): void => {
      rearm();
      opts.notify();
    };
    rearm();
    return () => {
      cancel();
    };
  }

  /** Waits for a delay, or until the signal aborts. */
  sleep(opts: SleepOptions): Promise<void> {
    if (opts.signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const cancel = this.clock.arm({ delayMs: opts.delayMs, wake: finish });
      opts.signal?.addEventListener('abort', finish, { once: true });
      function finish(): void {
        cancel();
        opts.signal?.removeEventListener('abort', finish);
        resolve();
      }
    });
  }

  /** Starts a time limit: its signal aborts after the given time, or with the parent signal. */
  startTimeLimit(opts: {
    readonly limitMs: number;
    readonly parent?: AbortSignal;
  }): ExtendableTimeLimit {
    const controller = new AbortController();
    const abort = (): void => {
      controller.abort();
    };
    let endsAtMs = this.nowMs() + opts.limitMs;
    let cancel = this.clock.arm({ delayMs: opts.limitMs, wake: abort });
    opts.parent?.addEventListener('abort', abort, { once: true });
    if (opts.parent?.aborted) {
      abort();
    }
    const release = (): void => {
      cancel();
      opts.parent?.removeEventListener('abort', abort);
    };
    const extend = ({ leftMs }: { readonly leftMs: number }): void => {
      const extendedToMs = this.nowMs() + leftMs;
      if (extendedToMs <= endsAtMs) {
        return;
      }
      endsAtMs = extendedToMs;
      cancel();
      cancel = this.clock.arm({ delayMs: leftMs, wake: abort });
    };
    return { signal: controller.signal, release, extend };
  }
}
