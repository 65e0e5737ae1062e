import { ColdStartLimit, createFixedLimit } from '@galenatiller/engine';

import { deadlineQueuePolicy } from './deadlineQueuePolicy.js';
import { createFixedLoadLimit, AimdLoadLimit } from './loadLimit.js';
import { naiveQueuePolicy } from './naiveQueuePolicy.js';
import type { GatePolicy } from './policy.js';

/** Default policy of a gate. */
export const standardPolicy: GatePolicy = {
  queue: deadlineQueuePolicy,
  createConcurrencyLimit: ({ settings, timer }) => ColdStartLimit.create({ ...settings, timer }),
  createLoadLimit: (opts) => AimdLoadLimit.create(opts),
};

/** Baseline policy for benchmarks. */
export const naivePolicy: GatePolicy = {
  queue: naiveQueuePolicy,
  createConcurrencyLimit: ({ settings }) => createFixedLimit(settings),
  createLoadLimit: createFixedLoadLimit,
};
