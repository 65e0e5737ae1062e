/** Cancels a timer; does nothing once it has fired or was cancelled. */
export type Cancel = () => void;

/** Source of time of a timer service. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number;
  /** Unix time in milliseconds. */
  readonly wallMs: () => number;
  /** Arms a timer that calls `wake` once after a delay. */
  readonly arm: (opts: ArmOptions) => Cancel;
}

/** Options of {@link Clock.arm}. */
export interface ArmOptions {
  readonly delayMs: number;
  readonly wake: () => void;
}
