import { chooseTarget } from './chooseTarget.js';
import { decideRetry } from './decideRetry.js';
import type { EntryPolicy } from './policy.js';

/** The decisions that an entry takes unless its settings say otherwise. */
export const standardPolicy: EntryPolicy = { chooseTarget, decideRetry };
