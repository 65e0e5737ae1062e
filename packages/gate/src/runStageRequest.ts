import { STOP_RETRY_AFTER_MS } from '@galenatiller/constants';
import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';
import { toStageEnd } from '@galenatiller/node';
import type { StageEnd, StagePart } from '@galenatiller/types';

import type { GateContext, RunStageRequestOptions } from './gateContext.js';
import { type EndWithSource, claimAndRun } from './claimAndRun.js';
import { classifyRunEnd } from './classifyRunEnd.js';
import type { Admission, TargetAdmission } from './targetAdmission.js';

/** Time limit for the probe that checks after a broken run whether the target is still alive. */
const PROBE_TIMEOUT_MS = 100;

/** Runs one stage request once its target admits it, or refuses it. */
export async function runStageRequest(opts: RunStageRequestOptions): Promise<StageEnd> {
  const { context, request, signal } = opts;
  const { timer } = context;
  const receivedAtMs = timer.nowMs();
  const target = context.targets.get(request.targetName);
  if (!target) {
    return refuse('unknown-target', request.targetName);
  }
  const refusal = findRefusal(context, target);
  if (refusal) {
    return refuse(refusal, request.targetName);
  }
  const admitted = await target.acquire(request, signal);
  const queueMs = timer.nowMs() - receivedAtMs;
  if (admitted.isErr) {
    return { ...toStageEnd(admitted.error), queueMs, report: target.buildReport() };
  }
  const end = await runGuarded(opts, target, admitted.value, request.remainingMs - queueMs);
  return { ...end, queueMs, report: target.buildReport() };
}

function findRefusal(context: GateContext, target: TargetAdmission): ResultCodeName | undefined {
  if (context.shutdown.hasBegun || target.isLeaving) {
    return 'target-leaving';
  }
  if (context.stoppedVersions.has(target.settings.group, target.settings.version)) {
    return 'version-stopped';
  }
  const { revision, zones } = context.readConfiguration();
  if (revision === 0) {
    // Without a configuration the gate cannot know whether its zone is out.
    return 'no-configuration';
  }
  const zone = zones.get(context.availabilityZone);
  return zone?.state === 'out' ? 'zone-out' : undefined;
}

/** Runs an admitted request unless its content is known to crash targets. */
async function runGuarded(
  opts: RunStageRequestOptions,
  target: TargetAdmission,
  admission: Admission,
  remainingMs: number,
): Promise<StageEnd> {
  const { context, request } = opts;
  const decision = context.crashGuard.admit(request);
  if (decision !== 'run') {
    target.release(request, admission, { how: 'no-evidence', firstPartMs: 0, runMs: 0 });
    return decision === 'stopped'
      ? refuse('fingerprint-stopped', request.stage)
      : refuse(
          'overloaded',
          `a request with another suspect fingerprint is running on ${request.targetName}`,
        );
  }
  let result: EndWithSource = {
    end: refuse('internal', 'the run ended unexpectedly'),
    source: 'target',
  };
  let firstPartAtMs = 0;
  const targetStart = `${request.targetName} ${target.startId}`;
  try {
    const onPart = (part: StagePart): void => {
      firstPartAtMs ||= context.timer.nowMs();
      opts.onPart(part);
    };
    result = await runAdmitted({ ...opts, onPart }, target, remainingMs);
  } finally {
    const endedAtMs = context.timer.nowMs();
    target.release(request, admission, {
      // A response from a run record is no evidence about the target.
      how: result.source === 'target' ? classifyRunEnd(result.end) : 'no-evidence',
      firstPartMs: (firstPartAtMs || endedAtMs) - admission.startedAtMs,
      runMs: endedAtMs - admission.startedAtMs,
    });
    context.crashGuard.onRunEnded({
      request,
      targetStart,
      isWhole: classifyRunEnd(result.end) === 'ok',
      hasCrashed: await hasCrashed(context, target, result.end),
    });
  }
  return { ...result.end, runMs: context.timer.nowMs() - admission.startedAtMs };
}

function runAdmitted(
  opts: RunStageRequestOptions,
  target: TargetAdmission,
  remainingMs: number,
): Promise<EndWithSource> {
  const { context, request } = opts;
  // The zone may have been set to out, or the shutdown started, while the request was queued.
  const refusal = findRefusal(context, target);
  if (refusal) {
    const end = refuse(refusal, request.targetName);
    return Promise.resolve({ end, source: 'refusal' });
  }
  context.record({
    kind: 'stage-started',
    requestId: request.requestId,
    subject: request.targetName,
    detail: request.stage,
  });
  return claimAndRun({ ...opts, target, remainingMs });
}

/** A broken run counts as a crash when the target is gone or its process has a new identity. */
async function hasCrashed(
  context: GateContext,
  target: TargetAdmission,
  end: StageEnd,
): Promise<boolean> {
  if (classifyRunEnd(end) !== 'broken' || !target.tryProbe()) {
    return false;
  }
  const limit = context.timer.startTimeLimit({ limitMs: PROBE_TIMEOUT_MS });
  const state = await context.probeTarget({
    url: target.settings.url,
    knownStartId: target.startId,
    onNotice: (notice, startId) => target.onNotice({ notice, startId, source: 'health' }),
    signal: limit.signal,
  });
  limit.release();
  return state === 'crashed';
}

function refuse(name: ResultCodeName, detail: string): StageEnd {
  const retryAfterMs = name === 'target-leaving' ? STOP_RETRY_AFTER_MS : 0;
  return toStageEnd(GalenatillerError.create({ name, detail, retryAfterMs }));
}
