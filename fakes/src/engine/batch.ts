import type { TimerService } from '@galenatiller/timer';

/** How fast a fake engine is. */
export interface BatchSpeed {
  /** Time between tokens of a batch of one. */
  readonly baseMsPerToken: number;
  /** Time that each further request in the batch adds. */
  readonly slopeMsPerToken: number;
  /** Most requests in the batch. */
  readonly capacity: number;
}

/** One generation in or before the batch. */
export interface BatchJob {
  /** Lower goes first. */
  readonly priority: number;
  readonly prefillMs: number;
  /** Tokens still to generate. */
  readonly tokens: number;
  /** Steps that one token takes. */
  readonly stepsPerToken: number;
  readonly signal: AbortSignal;
  /** Called for each token, with its index from 0. */
  readonly onToken: (index: number) => void;
  readonly onEnd: () => void;
}

/** Options of {@link Batch.create}. */
export interface BatchOptions {
  readonly timer: TimerService;
  readonly speed: BatchSpeed;
  /** Factor on every time. */
  readonly slowFactor: () => number;
}

interface RunningJob {
  readonly job: BatchJob;
  readonly readyAtMs: number;
  readonly done: number;
  /** Steps done for the next token. */
  readonly steps: number;
}

/** Continuous batching: each step gives every request of the batch one token. */
export class Batch {
  private readonly waiting: BatchJob[] = [];

  private running: RunningJob[] = [];

  private stepping = false;

  private constructor(private readonly opts: BatchOptions) {}

  /** Makes an empty batch. */
  static create(opts: BatchOptions): Batch {
    return new Batch(opts);
  }

  /** Requests in the batch. */
  get runningCount(): number {
    return this.running.length;
  }

  /** Requests that wait for the batch. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Adds a job; it ends through `onEnd`, unless its signal aborts before. */
  submit(job: BatchJob): void {
    const behind = this.waiting.findIndex((other) => other.priority > job.priority);
    this.waiting.splice(behind < 0 ? this.waiting.length : behind, 0, job);
    if (!this.stepping) {
      this.stepping = true;
      this.step().catch(() => {
        this.stepping = false;
      });
    }
  }

  private async step(): Promise<void> {
    for (;;) {
      this.admit();
      if (this.running.length === 0) {
        this.stepping = false;
        return;
      }
      await this.opts.timer.sleep({ delayMs: this.stepMs() });
      this.running = this.running.map((entry) => this.generate(entry)).filter(isOpen);
    }
  }

  private admit(): void {
    const { speed, timer, slowFactor } = this.opts;
    while (this.running.length < speed.capacity) {
      const job = this.waiting.shift();
      if (!job) {
        return;
      }
      if (!job.signal.aborted) {
        const readyAtMs = timer.nowMs() + job.prefillMs * slowFactor();
        this.running.push({ job, readyAtMs, done: 0, steps: 0 });
      }
    }
  }

  private stepMs(): number {
    const { speed, slowFactor } = this.opts;
    const others = this.running.length - 1;
    return (speed.baseMsPerToken + speed.slopeMsPerToken * others) * slowFactor();
  }

  private generate(entry: RunningJob): RunningJob {
    const { job, done } = entry;
    const steps = entry.steps + 1;
    if (job.signal.aborted || this.opts.timer.nowMs() < entry.readyAtMs) {
      return entry;
    }
    if (done < job.tokens && steps < job.stepsPerToken) {
      return { ...entry, steps };
    }
    if (done < job.tokens) {
      job.onToken(done);
    }
    if (done + 1 >= job.tokens) {
      job.onEnd();
    }
    return { ...entry, done: done + 1, steps: 0 };
  }
}

function isOpen({ job, done }: RunningJob): boolean {
  return !job.signal.aborted && done < job.tokens;
}
