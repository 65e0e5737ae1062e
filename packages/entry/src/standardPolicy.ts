import { admitCall } from './admitCall.js';
import { chooseTarget } from './chooseTarget.js';
import { decideRetry } from './decideRetry.js';
import type { EntryPolicy } from './policy.js';

/** Default policy of an entry. */
export const standardPolicy: EntryPolicy = { admitCall, chooseTarget, decideRetry };
