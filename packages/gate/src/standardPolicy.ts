import { ColdStartLimit, createFixedLimit } from '@galenatiller/engine';

import { deadlineQueuePolicy } from './deadlineQueuePolicy.js';
import { createFixedLoadLimit, AimdLoadLimit } from './loadLimit.js';
import { naiveQueuePolicy } from './naiveQueuePolicy.js';
import type { GatePolicy } from './policy.js';

/** The decisions that a gate takes unless its settings say otherwise. */
export const standardPolicy: GatePolicy = {
  queue: deadlineQueuePolicy,
  createConcurrencyLimit: ({ settings, timer }) => ColdStartLimit.create({ ...settings, timer }),
  createLoadLimit: (opts) => AimdLoadLimit.create(opts),
};

/** The plain decisions that measurements compare with. */
export const naivePolicy: GatePolicy = {
  queue: naiveQueuePolicy,
  createConcurrencyLimit: ({ settings }) => createFixedLimit(settings),
  createLoadLimit: createFixedLoadLimit,
};
