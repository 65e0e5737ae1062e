import { SmoothedDurations } from '@galenatiller/timer';

import type { RouterContext } from './routerContext.js';
import { StageTimes } from './stageTimes.js';

/** Routes with few calls still have a measured response time when the router stops. */
const RESPONSE_TIME_EXPIRES_MS = 60_000;

/** Creates the measured durations of a router. */
export function createDurations(): Pick<
  RouterContext,
  'responseTimes' | 'wholeResponseTimes' | 'pieceTimes' | 'stageTimes'
> {
  return {
    responseTimes: SmoothedDurations.create(),
    wholeResponseTimes: SmoothedDurations.create({ expireAfterMs: RESPONSE_TIME_EXPIRES_MS }),
    pieceTimes: SmoothedDurations.create(),
    stageTimes: StageTimes.create(),
  };
}
