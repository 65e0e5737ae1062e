import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';
import type { Logger } from '@galenatiller/logger';
import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, StageEnd, StageOrder, StagePart } from '@galenatiller/types';

import type { RunRecordKeeper } from './runRecordKeeper.js';
import type { TargetRunners } from './policy.js';
import type { TargetAdmission } from './targetAdmission.js';

/** What every order at a gate shares. */
export interface GateContext {
  readonly targets: ReadonlyMap<string, TargetAdmission>;
  readonly runners: TargetRunners;
  readonly runRecords: RunRecordKeeper;
  /** Tasks that a graceful shutdown waits for. */
  readonly tasks: TaskGroup;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly availabilityZone: string;
  readonly readConfiguration: () => Configuration;
  readonly isLeaving: () => boolean;
}

/** Options of {@link runOrder}. */
export interface RunOrderOptions {
  readonly context: GateContext;
  readonly order: StageOrder;
  /** Aborts when the entry cancels the attempt or its link ends. */
  readonly signal: AbortSignal;
  readonly onPart: (part: StagePart) => void;
}

/** Runs one order: refuses it, or waits for its turn, claims its run record and runs it. */
export async function runOrder(opts: RunOrderOptions): Promise<StageEnd> {
  const { context, order, signal } = opts;
  const { timer } = context;
  const receivedAtMs = timer.nowMs();
  const target = context.targets.get(order.targetName);
  if (!target) {
    return refuse('unknown-target', order.targetName);
  }
  const refusal = findRefusal(context);
  if (refusal) {
    return refuse(refusal, order.targetName);
  }
  const admitted = await target.enter(order, signal);
  const startedAtMs = timer.nowMs();
  const queueMs = startedAtMs - receivedAtMs;
  if (admitted.isErr) {
    return { ...endOf(admitted.error), queueMs, report: target.report() };
  }
  let end = refuse('internal', 'the run broke off');
  try {
    end = await runAdmitted(opts, target, order.remainingMs - queueMs);
  } finally {
    target.release({ runMs: timer.nowMs() - startedAtMs, ok: end.code === 0 });
  }
  return { ...end, queueMs, runMs: timer.nowMs() - startedAtMs, report: target.report() };
}

function findRefusal(context: GateContext): ResultCodeName | undefined {
  if (context.isLeaving()) {
    return 'target-leaving';
  }
  const zone = context.readConfiguration().zones.get(context.availabilityZone);
  return zone?.state === 'out' ? 'zone-out' : undefined;
}

async function runAdmitted(
  opts: RunOrderOptions,
  target: TargetAdmission,
  remainingMs: number,
): Promise<StageEnd> {
  const { context, order } = opts;
  if (order.idempotent) {
    return runOnce(opts, target, remainingMs);
  }
  const claim = await context.runRecords.claim(order, opts.signal);
  if (claim.isErr) {
    return endOf(claim.error);
  }
  switch (claim.value.kind) {
    case 'answered':
      return claim.value.end;
    case 'may-have-run':
      return refuse('run-unknown', `key of ${order.organisation}`);
    case 'key-reused':
      return refuse('key-reused', `key of ${order.organisation}`);
    case 'first': {
      const end = await runOnce(opts, target, remainingMs);
      // The caller need not wait until the store has the answer.
      context.tasks.start(() => context.runRecords.settle(order, end));
      return end;
    }
  }
}

async function runOnce(
  opts: RunOrderOptions,
  target: TargetAdmission,
  remainingMs: number,
): Promise<StageEnd> {
  const { context, order, onPart } = opts;
  const limit = context.timer.limit({ limitMs: remainingMs, parent: opts.signal });
  try {
    if (limit.signal.aborted || remainingMs <= 0) {
      return refuse('deadline-unreachable', `${Math.round(remainingMs)} ms left`);
    }
    const run = context.runners[target.settings.kind];
    const ran = await run({ url: target.settings.url, order, signal: limit.signal, onPart });
    return endOfRun(ran);
  } finally {
    limit.release();
  }
}

function endOfRun(ran: Awaited<ReturnType<TargetRunners['engine']>>): StageEnd {
  return ran.match({
    Ok: (result) => ({
      outcome: 'ran' as const,
      code: 0,
      detail: '',
      result,
      retryAfterMs: 0,
      queueMs: 0,
      runMs: 0,
    }),
    Err: endOf,
  });
}

function endOf(error: GalenatillerError): StageEnd {
  return {
    outcome: error.outcome,
    code: error.code,
    detail: error.detail,
    retryAfterMs: error.retryAfterMs,
    queueMs: 0,
    runMs: 0,
  };
}

function refuse(name: ResultCodeName, detail: string): StageEnd {
  return endOf(GalenatillerError.create({ name, detail }));
}
