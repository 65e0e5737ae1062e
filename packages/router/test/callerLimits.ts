import type { CallerLimits } from '@galenatiller/types';

/** Limits of callers for scenarios that are not about them. */
export const CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 8_192,
  maxBodyBytes: 1_000,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 1_000,
};
