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

/** Retries refused work always, and other failures only where the stage is idempotent. */
export function decideRetry(opts: DecideRetryOptions): RetryDecision {
  const { name } = findResultCodeByNumber(opts.end.code);
  if (opts.attempts >= MAX_ATTEMPTS || FINAL_CODES.has(name)) {
    return { kind: 'give-up' };
  }
  const safe = opts.end.outcome === 'not-run' || opts.stage.idempotent;
  const delayMs = opts.random() * FIRST_BACKOFF_MS * 2 ** (opts.attempts - 1);
  if (!safe || delayMs >= opts.remainingMs) {
    return { kind: 'give-up' };
  }
  return { kind: 'retry', delayMs };
}
