import { INVALID_ROUTE_RETRY_AFTER_MS } from '@galenatiller/constants';
import type { Call, CallResponse, OrganisationLimiter, WritePart } from '@galenatiller/caller';
import { GalenatillerError } from '@galenatiller/error';
import type { CrashHistory } from '@galenatiller/engine';
import type { Shutdown } from '@galenatiller/node';
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
import { estimateStage } from './estimateStage.js';
import type { EntryPolicy } from './policy.js';
import type { RetryBudget } from './retryBudget.js';
import { runStage, type StageSuccess } from './runStage.js';
import { addStageResult, NO_STAGE_DATA, type StageData } from './stageInput.js';
import type { VersionMoves } from './versionMoves.js';

/** Dependencies shared by all calls of an entry. */
export interface RunCallOptions {
  readonly readConfiguration: () => Configuration;
  readonly directory: GateDirectory;
  readonly policy: EntryPolicy;
  readonly timer: TimerService;
  readonly record: (event: RecordOptions) => void;
  readonly crashes: CrashHistory;
  readonly retryBudget: RetryBudget;
  readonly stageDurations: SmoothedDurations;
  readonly versions: VersionMoves;
  readonly limiter: OrganisationLimiter;
  readonly random: () => number;
  readonly ownAvailabilityZone: string;
  readonly shutdown: Shutdown;
  /** Called after each call ends. */
  readonly onCallEnded?: (ended: EndedCall) => void;
}

/** A call that has ended. */
export interface EndedCall {
  readonly priority: Priority;
  readonly durationMs: number;
  /** Undefined when the caller got a complete response. */
  readonly error: GalenatillerError | undefined;
}

/** Runs one call and records its result in the timeline. */
export async function runCall(
  opts: RunCallOptions,
  call: Call,
  writePart: WritePart,
): Promise<Result<CallResponse, GalenatillerError>> {
  const { requestId } = call;
  const startedAtMs = opts.timer.nowMs();
  const priority = opts.readConfiguration().routes.get(call.route)?.priority ?? 'interactive';
  opts.record({ kind: 'request-accepted', requestId, subject: call.route });
  const ended = await runRoute(opts, call, writePart);
  const error = ended.isErr ? ended.error : undefined;
  opts.record({
    kind: getEndEventKind(error),
    requestId,
    subject: call.route,
    detail: error ? `${error.outcome} ${error.message}` : '',
  });
  opts.onCallEnded?.({ priority, durationMs: opts.timer.nowMs() - startedAtMs, error });
  return ended;
}

function getEndEventKind(error: GalenatillerError | undefined): TimelineEventKind {
  if (!error) {
    return 'request-answered';
  }
  return error.codeName === 'cancelled' ? 'request-cancelled' : 'request-refused';
}

/** Validates and admits a call, then runs the stages of its route under one deadline. */
async function runRoute(
  opts: RunCallOptions,
  call: Call,
  writePart: WritePart,
): Promise<Result<CallResponse, GalenatillerError>> {
  const configuration = opts.readConfiguration();
  const route = configuration.routes.get(call.route);
  if (!route) {
    return refuse('unknown-route', `no route ${call.route}`);
  }
  const stages = route.stages.map((name) => configuration.stages.get(name));
  if (!stages.every((stage) => stage !== undefined)) {
    const detail = `route ${route.name} names an unknown stage`;
    return refuse('route-invalid', detail, INVALID_ROUTE_RETRY_AFTER_MS);
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
    return await runAdmitted(opts, { call, route, stages, configuration, writePart });
  } finally {
    opts.limiter.release(call.organisation);
  }
}

interface AdmittedCall {
  readonly call: Call;
  readonly route: RouteRule;
  readonly stages: readonly StageRule[];
  readonly configuration: Configuration;
  readonly writePart: WritePart;
}

async function runAdmitted(
  opts: RunCallOptions,
  admitted: AdmittedCall,
): Promise<Result<CallResponse, GalenatillerError>> {
  const { call, route, stages } = admitted;
  const limitMs = call.deadlineMs === 0 ? route.deadlineMs : call.deadlineMs;
  const decision = opts.policy.admitCall({
    stages: stages.map((stage) => estimateStage(opts, stage)),
    remainingMs: limitMs,
  });
  if (decision.kind === 'refuse') {
    return refuse('deadline-unreachable', `route ${route.name}`, decision.retryAfterMs);
  }
  const limit = opts.shutdown.startTimeLimit({ limitMs, parent: call.signal });
  const deadlineAtMs = opts.timer.nowMs() + limitMs;
  try {
    return await runStages({ ...opts, ...admitted, deadlineAtMs, signal: limit.signal });
  } finally {
    limit.release();
  }
}

async function runStages(context: CallContext): Promise<Result<CallResponse, GalenatillerError>> {
  let data: StageData = NO_STAGE_DATA;
  let lastStage: StageSuccess | undefined;
  for (const [stageIndex, stage] of context.stages.entries()) {
    const stageResult = await runStage({ context, stage, stageIndex, data });
    if (stageResult.isErr) {
      return Result.err(stageIndex === 0 ? stageResult.error : toMayHaveRun(stageResult.error));
    }
    lastStage = stageResult.value;
    data = addStageResult(data, lastStage.result);
  }
  return Result.ok(buildResponse(lastStage));
}

/** An earlier stage has run, so the call as a whole can no longer be reported as `not-run`. */
function toMayHaveRun(error: GalenatillerError): GalenatillerError {
  return GalenatillerError.create({
    name: error.codeName,
    detail: error.detail,
    outcome: 'may-have-run',
    retryAfterMs: error.retryAfterMs,
  });
}

function buildResponse(lastStage: StageSuccess | undefined): CallResponse {
  const text = lastStage?.delivered.text ?? '';
  const tokens = lastStage?.delivered.tokens ?? 0;
  if (lastStage?.result.kind === 'generate') {
    return { text, tokens, finishReason: lastStage.result.finishReason, body: null };
  }
  return { text, tokens, finishReason: 'stop', body: getResponseBody(lastStage) };
}

function getResponseBody(lastStage: StageSuccess | undefined): CallResponse['body'] {
  if (lastStage?.result.kind === 'call') {
    return lastStage.result.body;
  }
  if (lastStage?.result.kind === 'retrieve' || lastStage?.result.kind === 'rerank') {
    return lastStage.result.passages.map((passage) => ({ ...passage }));
  }
  return lastStage?.result.kind === 'encode' ? lastStage.result.vectors : null;
}

function refuse(
  name:
    | 'deadline-unreachable'
    | 'key-required'
    | 'organisation-limit'
    | 'route-invalid'
    | 'unknown-route',
  detail: string,
  retryAfterMs = 0,
): Result<never, GalenatillerError> {
  return Result.err(GalenatillerError.create({ name, detail, retryAfterMs }));
}
