import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';
import { toStageEnd } from '@galenatiller/node';
import type { StageEnd, StagePart } from '@galenatiller/types';

import type { GateContext, RunStageRequestOptions } from './gateContext.js';
import { type EndWithSource, claimAndRun } from './claimAndRun.js';
import { classifyRunEnd } from './classifyRunEnd.js';
import type { Admission, TargetAdmission } from './targetAdmission.js';

/** Time for a target to show after a broken run whether it still lives. */
const PROBE_LIMIT_MS = 100;

/** Runs one order: refuses it, or waits for its turn and runs it. */
export async function runStageRequest(opts: RunStageRequestOptions): Promise<StageEnd> {
  const { context, request: order, signal } = opts;
  const { timer } = context;
  const receivedAtMs = timer.nowMs();
  const target = context.targets.get(order.targetName);
  if (!target) {
    return refuse('unknown-target', order.targetName);
  }
  const refusal = findRefusal(context, target);
  if (refusal) {
    return refuse(refusal, order.targetName);
  }
  const admitted = await target.acquire(order, signal);
  const queueMs = timer.nowMs() - receivedAtMs;
  if (admitted.isErr) {
    return { ...toStageEnd(admitted.error), queueMs, report: target.buildReport() };
  }
  const end = await runGuarded(opts, target, admitted.value, order.remainingMs - queueMs);
  return { ...end, queueMs, report: target.buildReport() };
}

function findRefusal(context: GateContext, target: TargetAdmission): ResultCodeName | undefined {
  if (context.isLeaving()) {
    return 'target-leaving';
  }
  if (context.stoppedVersions.has(target.settings.group, target.settings.version)) {
    return 'version-stopped';
  }
  const { revision, zones } = context.readConfiguration();
  if (revision === 0) {
    // Without a configuration the gate can't know whether its zone has been taken out.
    return 'no-configuration';
  }
  const zone = zones.get(context.availabilityZone);
  return zone?.state === 'out' ? 'zone-out' : undefined;
}

/** Runs an admitted order unless its content is known to crash targets. */
async function runGuarded(
  opts: RunStageRequestOptions,
  target: TargetAdmission,
  admission: Admission,
  remainingMs: number,
): Promise<StageEnd> {
  const { context, request: order } = opts;
  const decision = context.crashGuard.admit(order);
  if (decision !== 'run') {
    target.release(order, admission, { how: 'no-evidence', firstPartMs: 0, runMs: 0 });
    return decision === 'stopped'
      ? refuse('fingerprint-stopped', order.stage)
      : refuse('overloaded', `another suspect content runs on ${order.targetName}`);
  }
  let claimed: EndWithSource = { end: refuse('internal', 'the run broke off'), source: 'target' };
  let firstPartAtMs = 0;
  try {
    const onPart = (part: StagePart): void => {
      firstPartAtMs ||= context.timer.nowMs();
      opts.onPart(part);
    };
    claimed = await runAdmitted({ ...opts, onPart }, target, remainingMs);
  } finally {
    const endedAtMs = context.timer.nowMs();
    target.release(order, admission, {
      // An answer from a run record says nothing of the target.
      how: claimed.source === 'target' ? classifyRunEnd(claimed.end) : 'no-evidence',
      firstPartMs: (firstPartAtMs || endedAtMs) - admission.startedAtMs,
      runMs: endedAtMs - admission.startedAtMs,
    });
    context.crashGuard.onRunEnded(order, await hasCrashed(context, target, claimed.end));
  }
  return { ...claimed.end, runMs: context.timer.nowMs() - admission.startedAtMs };
}

function runAdmitted(
  opts: RunStageRequestOptions,
  target: TargetAdmission,
  remainingMs: number,
): Promise<EndWithSource> {
  const { context, request: order } = opts;
  // The zone may have been taken out, or the shutdown begun, while the order waited.
  const refusal = findRefusal(context, target);
  if (refusal) {
    const end = refuse(refusal, order.targetName);
    return Promise.resolve({ end, source: 'refusal' });
  }
  context.record({
    kind: 'stage-started',
    requestId: order.requestId,
    subject: order.targetName,
    detail: order.stage,
  });
  return claimAndRun({ ...opts, target, remainingMs });
}

/** A broken run is a crash when the target is gone or has another identity. */
async function hasCrashed(
  context: GateContext,
  target: TargetAdmission,
  end: StageEnd,
): Promise<boolean> {
  if (classifyRunEnd(end) !== 'broken') {
    return false;
  }
  const limit = context.timer.startTimeLimit({ limitMs: PROBE_LIMIT_MS });
  const found = await context.probeTarget({
    url: target.settings.url,
    knownStartId: target.startId,
    signal: limit.signal,
  });
  limit.release();
  return found === 'crashed';
}

function refuse(name: ResultCodeName, detail: string): StageEnd {
  return toStageEnd(GalenatillerError.create({ name, detail }));
}
