import type { Call, CallResponse, OrganisationLimiter, WritePart } from '@galenatiller/caller';
import { GalenatillerError } from '@galenatiller/error';
import type { CrashRegistry } from '@galenatiller/engine';
import type { RecordOptions } from '@galenatiller/timeline';
import type { SmoothedDurations, TimerService } from '@galenatiller/timer';
import type {
  Configuration,
  Priority,
  RouteRule,
  StageRule,
  TimelineEventKind,
} from '@galenatiller/types';
import { Result } from 'true-myth';

import type { CallContext } from './callContext.js';
import type { GateDirectory } from './gateDirectory.js';
import type { EntryPolicy, StageEstimate } from './policy.js';
import type { RetryBudget } from './retryBudget.js';
import { runStage, type StageSuccess } from './runStage.js';
import { addStageResult, NO_STAGE_DATA, type StageData } from './stageInput.js';
import type { VersionMoves } from './versionMoves.js';

/** What every call of an entry shares. */
export interface RunCallOptions {
  readonly readConfiguration: () => Configuration;
  readonly directory: GateDirectory;
  readonly policy: EntryPolicy;
  readonly timer: TimerService;
  readonly record: (event: RecordOptions) => void;
  readonly crashes: CrashRegistry;
  readonly retryBudget: RetryBudget;
  readonly stageTimes: SmoothedDurations;
  readonly versions: VersionMoves;
  readonly limiter: OrganisationLimiter;
  readonly random: () => number;
  readonly ownAvailabilityZone: string;
  /** Told of each call that has ended. */
  readonly onCallEnded?: (ended: EndedCall) => void;
}

/** A call that has ended. */
export interface EndedCall {
  readonly priority: Priority;
  readonly durationMs: number;
  /** Undefined when the call was answered whole. */
  readonly error: GalenatillerError | undefined;
}

/** Runs one call and records how it ended. */
export async function runCall(
  opts: RunCallOptions,
  call: Call,
  takePart: WritePart,
): Promise<Result<CallResponse, GalenatillerError>> {
  const { requestId } = call;
  const startedAtMs = opts.timer.nowMs();
  const priority = opts.readConfiguration().routes.get(call.route)?.priority ?? 'interactive';
  opts.record({ kind: 'request-accepted', requestId, subject: call.route });
  const ended = await runOnRoute(opts, call, takePart);
  const error = ended.isErr ? ended.error : undefined;
  opts.record({
    kind: endKind(error),
    requestId,
    subject: call.route,
    detail: error ? `${error.outcome} ${error.message}` : '',
  });
  opts.onCallEnded?.({ priority, durationMs: opts.timer.nowMs() - startedAtMs, error });
  return ended;
}

function endKind(error: GalenatillerError | undefined): TimelineEventKind {
  if (!error) {
    return 'request-answered';
  }
  return error.codeName === 'cancelled' ? 'request-cancelled' : 'request-refused';
}

/** Walks the stages of the call's route under one deadline. */
async function runOnRoute(
  opts: RunCallOptions,
  call: Call,
  takePart: WritePart,
): Promise<Result<CallResponse, GalenatillerError>> {
  const configuration = opts.readConfiguration();
  const route = configuration.routes.get(call.route);
  if (!route) {
    return refuse('unknown-route', `no route ${call.route}`);
  }
  const stages = route.stages.map((name) => configuration.stages.get(name));
  if (!stages.every((stage) => stage !== undefined)) {
    return refuse('unknown-route', `route ${route.name} names an unknown stage`);
  }
  if (call.runKey === '' && stages.some((stage) => !stage.idempotent)) {
    return refuse('key-required', `route ${route.name} may run at most once`);
  }
  const admitted = opts.limiter.acquire(call.organisation);
  if (admitted.kind === 'refuse') {
    const { reason, retryAfterMs } = admitted;
    return refuse('organisation-limit', `limit of ${reason}`, retryAfterMs);
  }
  try {
    return await runAdmitted(opts, { call, route, stages, configuration, takePart });
  } finally {
    opts.limiter.release(call.organisation);
  }
}

interface AdmittedCall {
  readonly call: Call;
  readonly route: RouteRule;
  readonly stages: readonly StageRule[];
  readonly configuration: Configuration;
  readonly takePart: WritePart;
}

async function runAdmitted(
  opts: RunCallOptions,
  admitted: AdmittedCall,
): Promise<Result<CallResponse, GalenatillerError>> {
  const { call, route, stages } = admitted;
  const limitMs = call.deadlineMs === 0 ? route.deadlineMs : call.deadlineMs;
  const decision = opts.policy.admitCall({
    stages: stages.map((stage) => expectStage(opts, stage)),
    remainingMs: limitMs,
  });
  if (decision.kind === 'refuse') {
    return refuse('deadline-unreachable', `route ${route.name}`, decision.retryAfterMs);
  }
  const limit = opts.timer.startTimeLimit({ limitMs, parent: call.signal });
  const deadlineAtMs = opts.timer.nowMs() + limitMs;
  try {
    return await walkStages({ ...opts, ...admitted, deadlineAtMs, signal: limit.signal }, stages);
  } finally {
    limit.release();
  }
}

function expectStage(opts: RunCallOptions, stage: StageRule): StageEstimate {
  return {
    runMs: opts.stageTimes.estimateMs({ name: stage.name, nowMs: opts.timer.nowMs() }),
    candidates: opts.directory.listTargets(stage.targetGroup),
  };
}

async function walkStages(
  context: CallContext,
  stages: readonly StageRule[],
): Promise<Result<CallResponse, GalenatillerError>> {
  let data: StageData = NO_STAGE_DATA;
  let last: StageSuccess | undefined;
  for (const [stageIndex, stage] of stages.entries()) {
    const done = await runStage({ context, stage, stageIndex, data });
    if (done.isErr) {
      return Result.err(stageIndex === 0 ? done.error : afterOtherStages(done.error));
    }
    last = done.value;
    data = addStageResult(data, last.result);
  }
  return Result.ok(buildAnswer(last));
}

/** The stages before have run, so the request as a whole is no longer `not-run`. */
function afterOtherStages(error: GalenatillerError): GalenatillerError {
  return GalenatillerError.create({
    name: error.codeName,
    detail: error.detail,
    outcome: 'may-have-run',
    retryAfterMs: error.retryAfterMs,
  });
}

function buildAnswer(last: StageSuccess | undefined): CallResponse {
  const text = last?.delivered.text ?? '';
  const tokens = last?.delivered.tokens ?? 0;
  if (last?.result.kind === 'generate') {
    return { text, tokens, finishReason: last.result.finishReason, body: null };
  }
  return { text, tokens, finishReason: 'stop', body: bodyOf(last) };
}

function bodyOf(last: StageSuccess | undefined): CallResponse['body'] {
  if (last?.result.kind === 'call') {
    return last.result.body;
  }
  if (last?.result.kind === 'retrieve' || last?.result.kind === 'rerank') {
    return last.result.passages.map((passage) => ({ ...passage }));
  }
  return last?.result.kind === 'encode' ? last.result.vectors : null;
}

function refuse(
  name: 'deadline-unreachable' | 'key-required' | 'organisation-limit' | 'unknown-route',
  detail: string,
  retryAfterMs = 0,
): Result<never, GalenatillerError> {
  return Result.err(GalenatillerError.create({ name, detail, retryAfterMs }));
}
