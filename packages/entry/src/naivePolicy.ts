import { Maybe } from 'true-myth';

import type {
  ChooseTargetOptions,
  DecideRetryOptions,
  EntryPolicy,
  RetryDecision,
  TargetView,
} from './policy.js';

const NAIVE_ATTEMPTS = 3;

/** The plain policy that measurements compare with: a random target and a fixed number of tries. */
export const naivePolicy: EntryPolicy = {
  admitCall: () => ({ kind: 'admit' }),
  chooseTarget: chooseAnyTarget,
  decideRetry: retryFixedTimes,
};

function chooseAnyTarget(opts: ChooseTargetOptions): Maybe<TargetView> {
  const index = Math.floor(opts.random() * opts.candidates.length);
  return Maybe.of(opts.candidates[index]);
}

function retryFixedTimes(opts: DecideRetryOptions): RetryDecision {
  return opts.attempts < NAIVE_ATTEMPTS ? { kind: 'retry', delayMs: 0 } : { kind: 'give-up' };
}
