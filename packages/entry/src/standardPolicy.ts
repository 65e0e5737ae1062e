import { admitCall } from './admitCall.js';
import { chooseTarget } from './chooseTarget.js';
import { decideRetry } from './decideRetry.js';
import type { EntryPolicy } from './policy.js';

/** The decisions that an entry takes unless its settings say otherwise. */
export const standardPolicy: EntryPolicy = { admitCall, chooseTarget, decideRetry };
