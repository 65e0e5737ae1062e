/** Time after a pause in which the sends to a target grow from one to any number. */
export const RETURN_RAMP_MS = 1_000;

/** The number of sends grows with the square of the time in this unit. */
const RAMP_STEP_MS = 100;

/**
 * Number of sends that a target may have got a time after the end of its pause: one at once, more as
 * it proves able to take them.
 */
export function countAllowedSends(sinceEndMs: number): number {
  return sinceEndMs >= RETURN_RAMP_MS ? Infinity : 1 + Math.floor((sinceEndMs / RAMP_STEP_MS) ** 2);
}
