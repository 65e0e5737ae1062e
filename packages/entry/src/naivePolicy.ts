import { Maybe } from 'true-myth';

import type {
  ChooseTargetOptions,
  DecideRetryOptions,
  EntryPolicy,
  RetryDecision,
  TargetView,
} from './policy.js';

const MAX_ATTEMPTS = 3;

/** Baseline policy for benchmarks: a random target and a fixed number of attempts. */
export const naivePolicy: EntryPolicy = {
  admitCall: () => ({ kind: 'admit' }),
  chooseTarget: chooseRandomTarget,
  decideRetry: retryUpToMaxAttempts,
};

function chooseRandomTarget(opts: ChooseTargetOptions): Maybe<TargetView> {
  const index = Math.floor(opts.random() * opts.candidates.length);
  return Maybe.of(opts.candidates[index]);
}

function retryUpToMaxAttempts(opts: DecideRetryOptions): RetryDecision {
  return opts.attempts < MAX_ATTEMPTS ? { kind: 'retry', delayMs: 0 } : { kind: 'give-up' };
}
