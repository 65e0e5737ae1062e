import type { ArmOptions, Cancel, Clock } from '@galenatiller/timer';

/** The clock of one simulated process: everything that reaches the process passes through it. */
export class NodeClock implements Clock {
  private state: 'running' | 'paused' | 'dead' = 'running';

  private backlog: (() => void)[] = [];

  private constructor(private readonly base: Clock) {}

  /** Makes the clock of a process that runs. */
  static create(opts: { readonly base: Clock }): NodeClock {
    return new NodeClock(opts.base);
  }

  /** False once the process was killed. */
  get isAlive(): boolean {
    return this.state !== 'dead';
  }

  readonly nowMs = (): number => this.base.nowMs();

  readonly wallMs = (): number => this.base.wallMs();

  readonly arm = ({ delayMs, wake }: ArmOptions): Cancel => {
    let cancelled = false;
    const fire = (): void => {
      if (!cancelled) {
        this.fire(wake, () => cancelled);
      }
    };
    const cancel = this.base.arm({ delayMs, wake: fire });
    return () => {
      cancelled = true;
      cancel();
    };
  };

  /** Stops the process as SIGSTOP does: time goes on, nothing happens. */
  pause(): void {
    if (this.state === 'running') {
      this.state = 'paused';
    }
  }

  /** Lets a paused process go on with all that has piled up. */
  resume(): void {
    if (this.state !== 'paused') {
      return;
    }
    this.state = 'running';
    const due = this.backlog;
    this.backlog = [];
    due.forEach((wake) => this.base.arm({ delayMs: 0, wake }));
  }

  /** Ends the process as SIGKILL does. */
  kill(): void {
    this.state = 'dead';
    this.backlog = [];
  }

  private fire(wake: () => void, isCancelled: () => boolean): void {
    if (this.state === 'running') {
      wake();
    } else if (this.state === 'paused') {
      this.backlog.push(() => {
        if (!isCancelled()) {
          this.fire(wake, isCancelled);
        }
      });
    }
  }
}
