/** Work that waits in one queue and is taken as a whole, such as a stage of a request. */
export interface SchedulableWork {
  /** 0 is the highest. */
  readonly priority: number;
  /** Whether earlier stages of the request are done. */
  readonly hasBegun: boolean;
  readonly organisation: string;
  /** Monotonic time by which the work has to start for its request to be on time. */
  readonly latestStartAtMs: number;
  /** Time for which the work occupies everything that serves the queue. */
  readonly costMs: number;
  /** Time of workers that the request still needs, including later stages. */
  readonly remainingMs: number;
  /** Whether the request is delayed as rarely as the smallest ones; see `isSizeExempt`. */
  readonly isSizeExempt: boolean;
}
