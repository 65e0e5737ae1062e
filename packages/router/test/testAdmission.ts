import { SmoothedDurations, type TimerService } from '@galenatiller/timer';
import type { PriorityWait } from '@galenatiller/types';

import { CallAdmission } from '../src/admission/index.js';
import type { RouterContext } from '../src/routerContext.js';
import { RouterStop } from '../src/routerStop.js';
import type { RouteTable } from '../src/routeTable.js';

/** What the admission of calls depends on; nothing waits and lags unless it is set. */
export interface AdmissionInputs {
  stageWaits?: readonly PriorityWait[];
  loopLagMs?: number;
  responseTimes?: SmoothedDurations;
}

/** Creates what decides whether calls begin and go on, for a router without peers. */
export function createTestAdmission(
  world: AdmissionInputs & { readonly routerTimer: TimerService; readonly routes: RouteTable },
): Pick<RouterContext, 'admission' | 'stop'> {
  const timer = world.routerTimer;
  const admission = CallAdmission.create({
    timer,
    metrics: { count: () => {}, gauge: () => {}, timing: () => {} },
    routes: world.routes,
    responseTimes: world.responseTimes ?? SmoothedDurations.create(),
    findWaits: () => [world.stageWaits ?? []],
    loopLag: { meanMs: world.loopLagMs ?? 0 },
    random: () => 0.5,
  });
  return { admission, stop: RouterStop.create({ timer, onCallStopped: () => {} }) };
}
