import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';
import { endOfError } from '@galenatiller/node';
import type { StageEnd, StageResult } from '@galenatiller/types';

import type { RunOrderOptions } from './gateContext.js';
import type { TargetAdmission } from './targetAdmission.js';

/** Options of {@link runClaimed}. */
export interface RunClaimedOptions extends RunOrderOptions {
  readonly target: TargetAdmission;
  readonly remainingMs: number;
}

/** The end of an admitted order, and whether its target ran it. */
export interface ClaimedEnd {
  readonly end: StageEnd;
  readonly source: 'target' | 'run-record' | 'refusal';
}

/** Runs an admitted order; one that may run at most once is claimed in its run record first. */
export async function runClaimed(opts: RunClaimedOptions): Promise<ClaimedEnd> {
  const { context, order } = opts;
  if (order.idempotent) {
    return { end: await runOnce(opts), source: 'target' };
  }
  const claim = await context.runRecords.claim(order, opts.signal);
  if (claim.isErr) {
    return fromRecord(endOfError(claim.error));
  }
  switch (claim.value.kind) {
    case 'answered':
      return fromRecord(claim.value.end);
    case 'may-have-run':
      return fromRecord(refuse('run-unknown', `key of ${order.organisation}`));
    case 'key-reused':
      return fromRecord(refuse('key-reused', `key of ${order.organisation}`));
    case 'first': {
      const end = await runOnce(opts);
      // The caller need not wait until the store has the answer.
      context.tasks.start(() => context.runRecords.settle(order, end));
      return { end, source: 'target' };
    }
  }
}

function fromRecord(end: StageEnd): ClaimedEnd {
  return { end, source: 'run-record' };
}

async function runOnce(opts: RunClaimedOptions): Promise<StageEnd> {
  const { context, order, target, onPart } = opts;
  const limit = context.timer.startTimeLimit({ limitMs: opts.remainingMs, parent: opts.signal });
  try {
    if (limit.signal.aborted || opts.remainingMs <= 0) {
      return refuse('deadline-unreachable', `${Math.round(opts.remainingMs)} ms left`);
    }
    const ran = await context.runners[target.settings.kind]({
      url: target.settings.url,
      order,
      signal: limit.signal,
      onPart,
      onStartId: (startId) => target.identify(startId),
    });
    return ran.isOk ? success(ran.value) : endOfError(ran.error);
  } finally {
    limit.release();
  }
}

function success(result: StageResult): StageEnd {
  return { outcome: 'ran', code: 0, detail: '', result, retryAfterMs: 0, queueMs: 0, runMs: 0 };
}

function refuse(name: ResultCodeName, detail: string): StageEnd {
  return endOfError(GalenatillerError.create({ name, detail }));
}
