import { findResultCodeByNumber } from '@galenatiller/error';

import type { DecideRetryOptions, RetryDecision } from './policy.js';

/** Attempts at one stage, at most. */
const MAX_ATTEMPTS = 4;

/** Longest wait before the second attempt; doubles with each further one. */
const FIRST_BACKOFF_MS = 10;

/** Codes after which another attempt cannot help. */
const FINAL_CODES: ReadonlySet<string> = new Set([
  'cancelled',
  'deadline-exceeded',
  'fingerprint-stopped',
  'key-reused',
  'run-unknown',
]);

/** Codes that only show that the entry's view of the fleet is late; such a retry costs nothing. */
const LATE_VIEW_CODES: ReadonlySet<string> = new Set([
  'link-unopened',
  'no-configuration',
  'target-leaving',
  'unknown-target',
  'zone-out',
]);

/**
 * Retries refused work, and failed work where a second run is harmless: the stage is idempotent,
 * or the link was lost, after which the run record decides whether the work may still run.
 */
export function decideRetry(opts: DecideRetryOptions): RetryDecision {
  const { name } = findResultCodeByNumber(opts.end.code);
  if (opts.attempts >= MAX_ATTEMPTS || FINAL_CODES.has(name)) {
    return { kind: 'give-up' };
  }
  const safe = opts.end.outcome === 'not-run' || opts.stage.idempotent || name === 'link-lost';
  const delayMs = opts.random() * FIRST_BACKOFF_MS * 2 ** (opts.attempts - 1);
  if (!safe || delayMs >= opts.remainingMs) {
    return { kind: 'give-up' };
  }
  if (!LATE_VIEW_CODES.has(name) && !opts.tryWithdrawRetry()) {
    return { kind: 'give-up' };
  }
  return { kind: 'retry', delayMs };
}
