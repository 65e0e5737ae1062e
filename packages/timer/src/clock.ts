/** Ends a timer before it fires; later calls do nothing. */
export type Cancel = () => void;

/** Source of time for a timer service. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number;
  /** Unix time in milliseconds. */
  readonly wallMs: () => number;
  /** Calls `wake` once after a delay. */
  readonly arm: (opts: ArmOptions) => Cancel;
}

/** Options of {@link Clock.arm}. */
export interface ArmOptions {
  readonly delayMs: number;
  readonly wake: () => void;
}
