/** Throughput of all workers of a service together. */
export interface StageThroughput {
  /** 0 when no worker is usable. */
  readonly piecesPerMs: number;
  /** Duration of a full batch call. */
  readonly callMs: number;
  /** Time until the first worker accepts calls again; 0 unless all of them are paused. */
  readonly pausedMs: number;
}
