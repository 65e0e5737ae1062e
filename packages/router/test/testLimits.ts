/** Limits for scenarios that are not about them. */
import type { CallerLimits, ServiceConfig } from '@galenatiller/types';

/** Limits of callers. */
export const CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 8_192,
  maxBodyBytes: 1_000,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 1_000,
};

const PIECES_PER_OVERHEAD = 10;

/** The service of the stages, whose batch calls take some time, and a tenth of it for each piece. */
export function createStageService(callOverheadMs: number): ServiceConfig {
  return {
    name: 'stage',
    maxColdRequestsPerSecond: 0,
    batch: {
      maxPieces: 8,
      callOverheadMs,
      pieceMs: callOverheadMs / PIECES_PER_OVERHEAD,
      resultMemoryBytes: 1_000,
      resultTtlMs: 4_000,
    },
  };
}
