import type { AdmittedCall } from './admitCall.js';
import { predictZone } from './chooseTargetForCall.js';
import {
  computeStageDeadlines,
  computeStageUrgencies,
  computeZoneWaitLimits,
} from './computeStageDeadlines.js';
import { recordHeldStage } from './heldCalls.js';
import type { CallerExchange } from './ports.js';
import type { RouterContext } from './routerContext.js';
import { runStages, type StagesDone, type StagesFailed } from './runStages.js';
import type { StageProgress } from './stageProgress.js';
import {
  findStartDelayMs,
  freeResults,
  recordStageDone,
  recordStageStart,
  submitTimed,
} from './stageTiming.js';

/** Options of {@link runStageRound}. */
export interface StageRoundOptions {
  readonly context: RouterContext;
  readonly exchange: CallerExchange;
  readonly admitted: AdmittedCall;
  readonly stageProgress: StageProgress;
  /** Fingerprints of the call, that of its content first. */
  readonly fingerprints: readonly string[];
}

/** Runs all stages of a call once. */
export function runStageRound(
  opts: StageRoundOptions,
  signal: AbortSignal,
): Promise<StagesDone | StagesFailed> {
  const { context, exchange, admitted, stageProgress } = opts;
  const { call } = exchange;
  const { route } = admitted;
  const deadlineOptions = {
    route,
    call,
    responseMs: context.responseTimes.estimateMs({
      name: admitted.service,
      nowMs: context.timer.nowMs(),
    }),
    findLimits: (service: string) => context.routes.findService(service)?.batch,
  };
  const urgencies = computeStageUrgencies({
    ...deadlineOptions,
    respondByMs: admitted.dueAtMs,
    organisation: admitted.organisation,
  });
  return runStages({
    route,
    call,
    content: opts.fingerprints[0] ?? '',
    priority: admitted.priority,
    deadlinesAtMs: computeStageDeadlines({
      ...deadlineOptions,
      respondByMs: admitted.firstByteDeadlineAtMs,
    }),
    dueAtMs: admitted.dueAtMs,
    urgencies,
    zoneWaitsUntilMs: computeZoneWaitLimits({
      ...deadlineOptions,
      respondByMs: admitted.dueAtMs,
    }),
    zoneHint: predictZone(opts),
    nowMs: () => context.timer.nowMs(),
    resultTtlMs: (service) => deadlineOptions.findLimits(service)?.resultTtlMs ?? 0,
    submit: submitTimed(context),
    decideStart: (position) => {
      const latestStartAtMs = urgencies[position]?.latestStartAtMs ?? Infinity;
      const stage = { admitted, call, position, stageProgress, latestStartAtMs };
      return context.admission.decideStart(stage);
    },
    startDelayMs: (position) => findStartDelayMs(opts, position),
    sleep: (sleep) => context.timer.sleep(sleep),
    onStageHeld: (position) => recordHeldStage(opts, position),
    onStageStarted: (position, delayedMs) => recordStageStart(opts, position, delayedMs),
    onStageDone: (position) => recordStageDone(opts, position),
    free: (results) => freeResults(context, results),
    signal,
  });
}
