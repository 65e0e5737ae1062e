/** Records the calls with stages that are held or given up because of the load. */
import type { MetricTags } from '@galenatiller/metrics';

import type { AdmittedCall } from './admitCall.js';
import type { CallProgress } from './callProgress.js';
import { endWithError, type Refused } from './endAttempts.js';
import { logHeldStage } from './logEvents.js';
import { toPriorityTag } from './priorityTag.js';
import type { RouterContext } from './routerContext.js';
import type { CallerExchange } from './ports.js';

interface HeldCall {
  readonly context: Pick<RouterContext, 'log' | 'metrics'>;
  readonly exchange: Pick<CallerExchange, 'call'>;
  readonly admitted: Pick<AdmittedCall, 'route' | 'priority' | 'organisation'>;
}

/** Records that a stage of a call doesn't start yet. */
export function recordHeldStage(opts: HeldCall, position: number): void {
  const { context, exchange, admitted } = opts;
  const { route, priority, organisation } = admitted;
  const tags = { callPriority: toPriorityTag(priority) };
  context.metrics.count({ name: 'router.stages_held', tags });
  const { requestId } = exchange.call;
  const held = { requestId, route: route.name, stage: position, priority, organisation };
  logHeldStage(context.log, held);
}

/** Records that a call ends because its response can no longer start in time; `call-refused` is logged. */
export function recordGivenUp(opts: HeldCall, before: MetricTags['givenUpBefore']): void {
  const tags = { callPriority: toPriorityTag(opts.admitted.priority), givenUpBefore: before };
  opts.context.metrics.count({ name: 'router.calls_given_up', tags });
}

/** Ends a call whose response would start too late if it was sent now; undefined for others. */
export function endTooLate(
  opts: HeldCall & {
    readonly context: Pick<RouterContext, 'admission'>;
    readonly admitted: AdmittedCall;
  },
  progress: CallProgress,
): Refused | undefined {
  if (progress.runs > 0 || !opts.context.admission.isTooLateToSend(opts.admitted)) {
    return undefined;
  }
  recordGivenUp(opts, 'send');
  return endWithError(progress, 'deadline-unreachable', 'the response would start too late');
}
