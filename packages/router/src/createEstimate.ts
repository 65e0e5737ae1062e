import type { AdmittedCall } from './admitCall.js';
import { estimateStagesLeftMs } from './computeStageDeadlines.js';
import type { CallerExchange } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { TrackOptions } from './routerStop.js';
import type { StageProgress } from './stageProgress.js';

/** Options of {@link createEstimate}. */
export interface CreateEstimateOptions {
  readonly context: RouterContext;
  readonly exchange: Pick<CallerExchange, 'call'>;
  readonly admitted: AdmittedCall;
  readonly stageProgress: StageProgress;
}

/** Nine of ten responses end within this multiple of the mean, as far as has been measured. */
const RESPONSE_FACTOR = 2;

/** Creates the estimate of the time until the end of the response of a call without a target. */
export function createEstimate(opts: CreateEstimateOptions): TrackOptions['estimateMs'] {
  const { context, exchange, admitted, stageProgress } = opts;
  const { route } = admitted;
  return (phase) => {
    const nowMs = context.timer.nowMs();
    const usualMs = context.wholeResponseTimes.estimateMs({ name: route.name, nowMs });
    const responseMs = RESPONSE_FACTOR * (usualMs || route.latencyObjectiveMs);
    if (phase === 'unsent') {
      return responseMs;
    }
    const stagesMs = estimateStagesLeftMs({
      route,
      call: exchange.call,
      findLimits: (service) => context.routes.findService(service)?.batch,
      isDone: (position) => stageProgress.isDone(position),
      runningMs: (position) => stageProgress.runningMs(position),
      pieceMs: (name) => context.pieceTimes.estimateMs({ name, nowMs }),
    });
    return stagesMs + responseMs;
  };
}
