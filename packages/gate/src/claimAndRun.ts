import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';
import { toStageEnd } from '@galenatiller/node';
import type { StageEnd, StageResult } from '@galenatiller/types';

import type { RunStageRequestOptions } from './gateContext.js';
import type { TargetAdmission } from './targetAdmission.js';

/** Options of {@link claimAndRun}. */
export interface ClaimAndRunOptions extends RunStageRequestOptions {
  readonly target: TargetAdmission;
  readonly remainingMs: number;
}

/** End of an admitted request, and where that end comes from. */
export interface EndWithSource {
  readonly end: StageEnd;
  readonly source: 'target' | 'run-record' | 'refusal';
}

/** Runs an admitted request. One that may run at most once is claimed in its run record first. */
export async function claimAndRun(opts: ClaimAndRunOptions): Promise<EndWithSource> {
  const { context, request } = opts;
  if (request.idempotent) {
    return { end: await runOnce(opts), source: 'target' };
  }
  const claim = await context.runRecords.claim(request, opts.signal);
  if (claim.isErr) {
    return fromRecord(toStageEnd(claim.error));
  }
  switch (claim.value.kind) {
    case 'answered':
      return fromRecord(claim.value.end);
    case 'may-have-run':
      return fromRecord(refuse('run-unknown', `key of ${request.organisation}`));
    case 'key-reused':
      return fromRecord(refuse('key-reused', `key of ${request.organisation}`));
    case 'first': {
      const end = await runOnce(opts);
      // The caller does not have to wait until the store has the response.
      context.tasks.start(() => context.runRecords.recordEnd(request, end));
      return { end, source: 'target' };
    }
  }
}

function fromRecord(end: StageEnd): EndWithSource {
  return { end, source: 'run-record' };
}

async function runOnce(opts: ClaimAndRunOptions): Promise<StageEnd> {
  const { context, request, target, onPart } = opts;
  const limit = context.shutdown.startTimeLimit({
    limitMs: opts.remainingMs,
    parent: opts.signal,
  });
  try {
    if (limit.signal.aborted || opts.remainingMs <= 0) {
      return refuse('deadline-unreachable', `${Math.round(opts.remainingMs)} ms left`);
    }
    const result = await context.runners[target.settings.kind]({
      url: target.settings.url,
      order: request,
      signal: limit.signal,
      onPart,
      onStartId: (startId) => target.onStartId(startId),
      onNotice: (notice, startId) => target.onNotice({ notice, startId, source: 'call' }),
    });
    if (result.isOk) {
      return createSuccessEnd(result.value);
    }
    const isCutOff = context.shutdown.isWorkOver && result.error.outcome !== 'not-run';
    return isCutOff
      ? refuse('stop-limit-exceeded', target.settings.name)
      : toStageEnd(result.error);
  } finally {
    limit.release();
  }
}

function createSuccessEnd(result: StageResult): StageEnd {
  return { outcome: 'ran', code: 0, detail: '', result, retryAfterMs: 0, queueMs: 0, runMs: 0 };
}

function refuse(name: ResultCodeName, detail: string): StageEnd {
  return toStageEnd(GalenatillerError.create({ name, detail }));
}
