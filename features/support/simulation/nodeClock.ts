import type { ArmOptions, Cancel, Clock } from '@galenatiller/timer';

/** Clock of one simulated process: everything that the process is notified of goes through it. */
export class NodeClock implements Clock {
  private state: 'running' | 'paused' | 'dead' = 'running';

  private backlog: (() => void)[] = [];

  private constructor(private readonly base: Clock) {}

  /** Creates the clock of a running process. */
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
        this.deliver(wake, () => cancelled);
      }
    };
    const cancel = this.base.arm({ delayMs, wake: fire });
    return () => {
      cancelled = true;
      cancel();
    };
  };

  /** Pauses the process like SIGSTOP: time passes, but the process is not notified. */
  pause(): void {
    if (this.state === 'running') {
      this.state = 'paused';
    }
  }

  /** Continues a paused process and delivers the notifications that were held back meanwhile. */
  resume(): void {
    if (this.state !== 'paused') {
      return;
    }
    this.state = 'running';
    const pending = this.backlog;
    this.backlog = [];
    pending.forEach((wake) => this.base.arm({ delayMs: 0, wake }));
  }

  /** Ends the process like SIGKILL. */
  kill(): void {
    this.state = 'dead';
    this.backlog = [];
  }

  private deliver(wake: () => void, isCancelled: () => boolean): void {
    if (this.state === 'running') {
      wake();
    } else if (this.state === 'paused') {
      this.backlog.push(() => {
        if (!isCancelled()) {
          this.deliver(wake, isCancelled);
        }
      });
    }
  }
}
