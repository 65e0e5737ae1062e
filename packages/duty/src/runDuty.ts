import {
  jitteredDelayMs,
  type Member,
  type PrefixSource,
  type ReadFailure,
  readMember,
  type StatedEra,
  type WriteIfUnchanged,
} from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import type { Result } from 'true-myth';

import { type StoredDuty, VACANT } from './dutyEntry.js';
import type { DutyHolder } from './dutyHolder.js';
import type { DutyStep } from './dutyTypes.js';
import { decodeDuty, encodeDuty, getDutyKey } from './wireDuties.js';

/** Options of {@link runDuty}. */
export interface RunDutyOptions {
  readonly holder: DutyHolder;
  readonly timer: TimerService;
  /** The store itself, since what others have read may be older. */
  readonly source: Pick<PrefixSource, 'readPage'>;
  readonly writeIfUnchanged: WriteIfUnchanged;
  readonly storeEra: Pick<StatedEra, 'rises'>;
  readonly random: () => number;
  /** Starts a signal that aborts when the next step may have changed. */
  readonly startListening: () => AbortSignal;
  /** Called after each step. */
  readonly onStep: () => void;
  readonly signal: AbortSignal;
}

/** Time limit of one call to the store. */
const CALL_TIMEOUT_MS = 700;

const RETRY_BASE_MS = 100;

const MAX_RETRY_DELAY_MS = 1_000;

/** Timers can't be set for an unlimited time. */
const MAX_WAIT_MS = 60_000;

/** The task that takes a duty, keeps it and releases it, as its holder decides. */
export async function runDuty(opts: RunDutyOptions): Promise<void> {
  const { holder, timer, random, signal } = opts;
  let failures = 0;
  while (!signal.aborted) {
    const changed = opts.startListening();
    const step = holder.next();
    if (step.kind === 'wait') {
      const delayMs = Math.min(step.forMs, MAX_WAIT_MS);
      await timer.sleep({ delayMs, signal: AbortSignal.any([signal, changed]) });
    } else {
      const isAnswered = await perform(opts, step);
      failures = isAnswered ? 0 : failures + 1;
    }
    opts.onStep();
    if (failures > 0 && !signal.aborted) {
      const delay = { failures, baseMs: RETRY_BASE_MS, maxMs: MAX_RETRY_DELAY_MS, random };
      await timer.sleep({ delayMs: jitteredDelayMs(delay), signal });
    }
  }
}

/** Makes the call of a step; false if it got no answer. */
async function perform(
  opts: RunDutyOptions,
  step: Exclude<DutyStep, { kind: 'wait' }>,
): Promise<boolean> {
  switch (step.kind) {
    case 'read-entry':
      return readEntry(opts);
    case 'read-member':
      return checkMember(opts, step.member);
    case 'write':
      return write(opts, step);
  }
}

async function readEntry(opts: RunDutyOptions): Promise<boolean> {
  const { holder, storeEra } = opts;
  const { rises } = storeEra;
  const prefix = getDutyKey(holder.name);
  const page = await call(opts, (signal) =>
    opts.source.readPage({ prefix, afterKey: '', seenRevision: 0, signal }),
  );
  if (page.isErr) {
    return false;
  }
  const found = page.value.entries.find(({ key }) => key === prefix);
  const stored: StoredDuty = found
    ? { entry: decodeDuty(found.value), revision: found.revision }
    : { entry: VACANT, revision: 0 };
  holder.onRead(stored, rises);
  return true;
}

async function checkMember(opts: RunDutyOptions, name: string): Promise<boolean> {
  const { holder, storeEra, source } = opts;
  const { rises } = storeEra;
  const read: Result<Member | undefined, ReadFailure> = await call(opts, (signal) =>
    readMember({ source, name, signal }),
  );
  if (read.isOk && rises === storeEra.rises) {
    holder.onMemberRead(read.value, { member: name });
  }
  return read.isOk;
}

async function write(
  opts: RunDutyOptions,
  step: DutyStep & { readonly kind: 'write' },
): Promise<boolean> {
  const { holder, storeEra } = opts;
  const { rises } = storeEra;
  const { entry, expectedRevision } = step;
  holder.onSend(step);
  const key = getDutyKey(holder.name);
  const value = encodeDuty(entry);
  const answer = await call(opts, (signal) =>
    opts.writeIfUnchanged({ key, value, expectedRevision, signal }),
  );
  // A failure may be that of a server between; the store may have executed the write.
  holder.onWritten(step, { result: answer.isOk ? answer.value : 'unknown', rises });
  return answer.isOk;
}

async function call<Value>(
  { timer, signal: parent }: RunDutyOptions,
  send: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> {
  const limit = timer.startTimeLimit({ limitMs: CALL_TIMEOUT_MS, parent });
  try {
    return await send(limit.signal);
  } finally {
    limit.release();
  }
}
