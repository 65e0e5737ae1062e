import { findResultCodeByNumber } from '@galenatiller/error';

import type { DecideRetryOptions, RetryDecision } from './policy.js';

/** Maximum number of attempts per stage, including the first one. */
const MAX_ATTEMPTS = 4;

/** Maximum delay before the second attempt; doubles with each further attempt. */
const MAX_FIRST_BACKOFF_MS = 10;

/** Result codes after which another attempt cannot succeed. */
const FINAL_CODES: ReadonlySet<string> = new Set([
  'cancelled',
  'deadline-exceeded',
  'fingerprint-stopped',
  'key-reused',
  'run-unknown',
]);

/**
 * Result codes that only show that the entry's view of the gates was out of date. Such a retry is
 * not charged to the retry budget.
 */
const STALE_VIEW_CODES: ReadonlySet<string> = new Set([
  'link-unopened',
  'no-configuration',
  'target-leaving',
  'targets-paused',
  'unknown-target',
  'zone-out',
]);

/**
 * Retries work that was refused, and failed work that is safe to run again: the stage is
 * idempotent, or the link was lost, in which case the run record decides whether it may run.
 */
export function decideRetry(opts: DecideRetryOptions): RetryDecision {
  const { name } = findResultCodeByNumber(opts.end.code);
  if (opts.attempts >= MAX_ATTEMPTS || FINAL_CODES.has(name)) {
    return { kind: 'give-up' };
  }
  const isSafe = opts.end.outcome === 'not-run' || opts.stage.idempotent || name === 'link-lost';
  const delayMs = opts.random() * MAX_FIRST_BACKOFF_MS * 2 ** (opts.attempts - 1);
  if (!isSafe || delayMs >= opts.remainingMs) {
    return { kind: 'give-up' };
  }
  if (!STALE_VIEW_CODES.has(name) && !opts.tryWithdrawRetry()) {
    return { kind: 'give-up' };
  }
  return { kind: 'retry', delayMs };
}
