import { ColdStartLimit, createFixedLimit } from '@galenatiller/engine';

import { deadlineQueuePolicy } from './deadlinePolicy.js';
import { createFixedLoadLimit, DeadlineLoadLimit } from './loadLimit.js';
import { naiveQueuePolicy } from './naivePolicy.js';
import type { GatePolicy } from './policy.js';

/** The decisions that a gate takes unless its settings say otherwise. */
export const standardPolicy: GatePolicy = {
  queue: deadlineQueuePolicy,
  createLimit: ({ settings, timer }) => ColdStartLimit.create({ ...settings, timer }),
  createLoadLimit: (opts) => DeadlineLoadLimit.create(opts),
};

/** The plain decisions that measurements compare with. */
export const naivePolicy: GatePolicy = {
  queue: naiveQueuePolicy,
  createLimit: ({ settings }) => createFixedLimit(settings),
  createLoadLimit: createFixedLoadLimit,
};
