import type { TimerService } from '@galenatiller/timer';

/** How a run at a fake ended. */
export type RunEnd = 'answered' | 'cancelled' | 'crashed' | 'failed' | 'lost' | 'refused';

/** A run as recorded by a fake. */
export interface RunRecord {
  readonly requestId: string;
  readonly stageIndex: number;
  readonly attempt: number;
  readonly route: string;
  /** Idempotency key, or an empty string. */
  readonly runKey: string;
  readonly path: string;
  readonly startId: string;
  readonly startedWallMs: number;
  /** Missing while the run is in progress. */
  readonly ended?: { readonly how: RunEnd; readonly atWallMs: number; readonly tokens: number };
}

/** What is known about a run when it starts. */
export type RunStart = Omit<RunRecord, 'ended' | 'startedWallMs'>;

/** Records the end of a run; only the first call has an effect. */
export type EndRun = (how: RunEnd, tokens?: number) => void;

/** Records every run that a fake started and how it ended, for the history checker. */
export class RunLedger {
  private readonly records: RunRecord[] = [];

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty ledger. */
  static create(opts: { readonly timer: TimerService }): RunLedger {
    return new RunLedger(opts.timer);
  }

  /** The runs, in the order in which they started. */
  get runs(): readonly RunRecord[] {
    return this.records;
  }

  /** Records the start of a run and returns the function that records its end. */
  start(run: RunStart): EndRun {
    const index = this.records.length;
    const started: RunRecord = { ...run, startedWallMs: this.timer.wallMs() };
    this.records.push(started);
    return (how, tokens = 0) => {
      if (!this.records[index]?.ended) {
        this.records[index] = { ...started, ended: { how, atWallMs: this.timer.wallMs(), tokens } };
      }
    };
  }
}
