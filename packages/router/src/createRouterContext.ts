import type { RouterSettings } from '@galenatiller/settings';

import { CallAdmission, type LoopLag } from './admission/index.js';
import { createDurations } from './createDurations.js';
import type { ProviderDuties } from './createProviderDuties.js';
import type { Stages } from './createStages.js';
import { logStoppedCall } from './logEvents.js';
import type { RouterContext } from './routerContext.js';
import { RouterStop } from './routerStop.js';

/** Options of {@link createRouterContext}. */
export interface RouterContextOptions extends GivenContext {
  readonly settings: Pick<RouterSettings, 'availabilityZone' | 'keyAgeLimitMs'>;
  readonly provider: Pick<ProviderDuties, 'countRequest'>;
  readonly stages: Pick<Stages, 'submitter' | 'permits' | 'findWaits'>;
  readonly loopLag: LoopLag;
}

/** What the task of each call uses and other parts of the router have created. */
type GivenContext = Omit<
  RouterContext,
  | 'ownZone'
  | 'responseTimes'
  | 'wholeResponseTimes'
  | 'pieceTimes'
  | 'stageTimes'
  | 'admission'
  | 'submitPiece'
  | 'freeResults'
  | 'obtainPermit'
  | 'countRequest'
  | 'stop'
  | 'keyAgeLimitMs'
>;

/** Creates what the task of each call uses. */
export function createRouterContext(opts: RouterContextOptions): RouterContext {
  const { settings, stages, provider } = opts;
  const durations = createDurations();
  const { findWaits } = stages;
  return {
    ...opts,
    ...durations,
    admission: CallAdmission.create({ ...opts, ...durations, findWaits }),
    ...bindStages(stages),
    ownZone: settings.availabilityZone,
    countRequest: provider.countRequest,
    stop: createStop(opts),
    keyAgeLimitMs: settings.keyAgeLimitMs,
  };
}

function bindStages({
  submitter,
  permits,
}: RouterContextOptions['stages']): Pick<
  RouterContext,
  'submitPiece' | 'freeResults' | 'obtainPermit'
> {
  return {
    submitPiece: submitter.submit,
    freeResults: (handles) => submitter.free(handles),
    obtainPermit: (target) => permits.obtain(target),
  };
}

function createStop({
  timer,
  log,
  metrics,
}: Pick<RouterContext, 'timer' | 'log' | 'metrics'>): RouterStop {
  return RouterStop.create({
    timer,
    onCallStopped: (event) => {
      logStoppedCall(log, event);
      metrics.count({ name: 'router.calls_stopped', tags: { callPhase: event.phase } });
    },
  });
}
