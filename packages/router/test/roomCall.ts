/** The task of one call of the simulation of room: what a router does for it, and its caller. */
import type { TimerService } from '@galenatiller/timer';
import type { BatchLimits, PriorityWait, RouteConfig, RoutedCall } from '@galenatiller/types';

import {
  decideAdmission,
  decideStageStart,
  type EstimateInputs,
  estimateNewCall,
} from '../src/admission/index.js';
import {
  computeStageDeadlines,
  computeStageUrgencies,
  computeZoneWaitLimits,
} from '../src/computeStageDeadlines.js';
import { computeStartDelayMs } from '../src/computeStartDelay.js';
import { runStages, type RunStagesOptions } from '../src/runStages.js';
import { StageProgress } from '../src/stageProgress.js';
import type { StageTimes } from '../src/stageTimes.js';
import type { CallEnd, RoomSimulationOptions, SimulatedClass } from './roomTypes.js';
import { BASE_ROUTE } from './support.js';

/** What the task of a call uses. */
export interface RoomCallPorts {
  readonly timer: TimerService;
  readonly policy: RoomSimulationOptions;
  readonly limits: ReadonlyMap<string, BatchLimits>;
  readonly stageTimes: StageTimes;
  readonly submit: RunStagesOptions['submit'];
  readonly free: RunStagesOptions['free'];
  /** Whether a worker still had a result that a target fetches. */
  readonly fetch: (handle: string) => boolean;
  readonly findWaits: (service: string) => readonly PriorityWait[];
}

interface RoomCallOptions extends RoomCallPorts {
  readonly kind: SimulatedClass;
  readonly call: RoutedCall;
}

interface StartedCall extends RoomCallOptions {
  readonly route: RouteConfig;
  readonly dueAtMs: number;
  readonly respondByMs: number;
  readonly signal: AbortSignal;
}

/** Time from the send of a call to its first event. */
const TARGET_MS = 350;

/** Time after which a target has fetched the inputs of a call. */
const TARGET_FETCH_MS = 20;

const MAX_ROUNDS = 2;

const MAX_ATTEMPTS = 2;

/** Runs a call to its end; its caller comes back once after a refusal on arrival. */
export async function runRoomCall(opts: RoomCallOptions): Promise<CallEnd> {
  const { timer, kind } = opts;
  const startedAtMs = timer.nowMs();
  const limit = timer.startTimeLimit({ limitMs: kind.deadlineMs });
  const started: StartedCall = {
    ...opts,
    route: { ...BASE_ROUTE, name: kind.name, priority: kind.priority, stages: kind.stages },
    dueAtMs: startedAtMs + kind.objectiveMs,
    respondByMs: startedAtMs + kind.deadlineMs,
    signal: limit.signal,
  };
  try {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const decision = decide(started);
      if (decision.kind === 'admit') {
        const isServed = await runRounds(started);
        const end = timer.nowMs() <= started.dueAtMs ? 'onTime' : 'late';
        const failure = limit.signal.aborted ? 'expired' : 'failed';
        return isServed && !limit.signal.aborted ? end : failure;
      }
      if (attempt < MAX_ATTEMPTS) {
        await timer.sleep({ delayMs: decision.retryAfterMs });
      }
    }
    return 'refused';
  } finally {
    limit.release();
  }
}

function decide(opts: StartedCall): ReturnType<typeof decideAdmission> {
  const { timer, policy, route } = opts;
  return decideAdmission({
    estimate: estimateNewCall(toEstimateInputs(opts)),
    leftMs: opts.respondByMs - timer.nowMs(),
    priority: route.priority,
    stagedPriorities: policy.classes.map(({ priority }) => priority),
    loopLagMs: 0,
    random: () => 0.5,
  });
}

function toEstimateInputs({ route, call, limits, findWaits }: StartedCall): EstimateInputs {
  return {
    route,
    call,
    priority: route.priority,
    findLimits: (name) => limits.get(name),
    findWaits: (service) => [findWaits(service)],
    responseMs: TARGET_MS,
    fastResponseMs: TARGET_MS,
  };
}

async function runRounds(opts: StartedCall): Promise<boolean> {
  const { timer } = opts;
  for (let round = 1; round <= MAX_ROUNDS; round += 1) {
    const stages = await runStages(createStageOptions(opts));
    if (stages.kind === 'failed') {
      stages.free();
      if (stages.reason !== 'input-gone') {
        return false;
      }
    } else {
      await timer.sleep({ delayMs: TARGET_FETCH_MS });
      const fetched = stages.inputs.map(({ handle }) => opts.fetch(handle));
      if (!fetched.includes(false)) {
        await timer.sleep({ delayMs: TARGET_MS - TARGET_FETCH_MS });
        stages.free();
        return true;
      }
      stages.free();
    }
  }
  return false;
}

function createStageOptions(opts: StartedCall): RunStagesOptions {
  const { timer, route, call, limits, dueAtMs, respondByMs, stageTimes } = opts;
  const shared = {
    route,
    call,
    responseMs: TARGET_MS,
    findLimits: (service: string) => limits.get(service),
  };
  const urgencies = computeStageUrgencies({ ...shared, respondByMs: dueAtMs, organisation: '' });
  const stageProgress = StageProgress.create({ timer });
  return {
    route,
    call,
    content: call.requestId,
    priority: route.priority,
    zoneHint: '',
    deadlinesAtMs: computeStageDeadlines({
      ...shared,
      respondByMs: opts.policy.givesUpNothing ? Infinity : respondByMs,
    }),
    dueAtMs,
    urgencies,
    zoneWaitsUntilMs: computeZoneWaitLimits({ ...shared, respondByMs: dueAtMs }),
    nowMs: () => timer.nowMs(),
    resultTtlMs: (service) => limits.get(service)?.resultTtlMs ?? 0,
    submit: opts.submit,
    decideStart: (position) =>
      opts.policy.holdsNothing
        ? 'start'
        : decideStageStart({
            ...toEstimateInputs(opts),
            position,
            stageProgress,
            leftMs: respondByMs - timer.nowMs(),
            isLate: (urgencies[position]?.latestStartAtMs ?? Infinity) < timer.nowMs(),
          }),
    onStageHeld: () => {},
    startDelayMs: (position) =>
      opts.policy.startsAtOnce
        ? 0
        : computeStartDelayMs({
            ...shared,
            position,
            stageProgress,
            stageTimes,
            nowMs: timer.nowMs(),
          }),
    sleep: (sleep) => timer.sleep(sleep),
    onStageStarted: (position) => stageProgress.recordStart(position),
    onStageDone: (position) => {
      stageProgress.recordDone(position);
      const durationMs = stageProgress.runningMs(position);
      stageTimes.observe({ route: route.name, position, durationMs, nowMs: timer.nowMs() });
    },
    free: opts.free,
    signal: opts.signal,
  };
}
