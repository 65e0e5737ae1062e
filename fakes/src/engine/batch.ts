import type { TimerService } from '@galenatiller/timer';

/** Speed and size of a batch. */
export interface BatchSpeed {
  /** Time per token with one request in the batch. */
  readonly baseMsPerToken: number;
  /** Time per token that each further request in the batch adds. */
  readonly slopeMsPerToken: number;
  /** Maximum number of requests in the batch. */
  readonly capacity: number;
}

/** A generation that waits for the batch or is part of it. */
export interface BatchJob {
  /** Jobs with a lower number are admitted first. */
  readonly priority: number;
  readonly prefillMs: number;
  /** Number of tokens to generate. */
  readonly tokens: number;
  /** Number of batch steps per token. */
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
  /** Returns the factor by which the batch is slowed down. */
  readonly slowFactor: () => number;
}

interface RunningJob {
  readonly job: BatchJob;
  /** When the prefill is complete and the first token can be generated. */
  readonly readyAtMs: number;
  readonly tokensDone: number;
  /** Steps done since the last token. */
  readonly stepsDone: number;
}

/** Simulates continuous batching: each step advances every request in the batch. */
export class Batch {
  private readonly waiting: BatchJob[] = [];

  private running: RunningJob[] = [];

  private isStepping = false;

  private constructor(private readonly opts: BatchOptions) {}

  /** Creates an empty batch. */
  static create(opts: BatchOptions): Batch {
    return new Batch(opts);
  }

  /** Number of requests in the batch. */
  get runningCount(): number {
    return this.running.length;
  }

  /** Number of requests that wait for the batch. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Queues a job; `onEnd` is called when it is complete, unless its signal aborts first. */
  submit(job: BatchJob): void {
    const insertAt = this.waiting.findIndex((other) => other.priority > job.priority);
    this.waiting.splice(insertAt < 0 ? this.waiting.length : insertAt, 0, job);
    if (!this.isStepping) {
      this.isStepping = true;
      this.step().catch(() => {
        this.isStepping = false;
      });
    }
  }

  private async step(): Promise<void> {
    for (;;) {
      this.admit();
      if (this.running.length === 0) {
        this.isStepping = false;
        return;
      }
      await this.opts.timer.sleep({ delayMs: this.stepMs() });
      this.running = this.running.map((running) => this.advance(running)).filter(isUnfinished);
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
        this.running.push({ job, readyAtMs, tokensDone: 0, stepsDone: 0 });
      }
    }
  }

  private stepMs(): number {
    const { speed, slowFactor } = this.opts;
    const others = this.running.length - 1;
    return (speed.baseMsPerToken + speed.slopeMsPerToken * others) * slowFactor();
  }

  private advance(running: RunningJob): RunningJob {
    const { job, tokensDone } = running;
    const stepsDone = running.stepsDone + 1;
    if (job.signal.aborted || this.opts.timer.nowMs() < running.readyAtMs) {
      return running;
    }
    if (tokensDone < job.tokens && stepsDone < job.stepsPerToken) {
      return { ...running, stepsDone };
    }
    if (tokensDone < job.tokens) {
      job.onToken(tokensDone);
    }
    if (tokensDone + 1 >= job.tokens) {
      job.onEnd();
    }
    return { ...running, tokensDone: tokensDone + 1, stepsDone: 0 };
  }
}

function isUnfinished({ job, tokensDone }: RunningJob): boolean {
  return !job.signal.aborted && tokensDone < job.tokens;
}
