import { GalenatillerError } from '@galenatiller/error';
import { toStageEnd } from '@galenatiller/node';
import type { StageEnd, StageRequest, StagePart } from '@galenatiller/types';

import type { CallContext } from './callContext.js';
import type { GateLink } from './gateLink.js';
import type { DeliveredOutput } from './stageInput.js';

/** Options of {@link runAttempt}. */
export interface RunAttemptOptions {
  readonly context: CallContext;
  readonly gateName: string;
  readonly request: StageRequest;
  readonly delivered: DeliveredOutput;
}

/** One attempt that has ended, and what the caller has received by then. */
export interface AttemptEnd {
  readonly end: StageEnd;
  readonly delivered: DeliveredOutput;
}

/** Sends one order to a gate and takes its parts to the caller until it ends. */
export async function runAttempt(opts: RunAttemptOptions): Promise<AttemptEnd> {
  const { context, request: order } = opts;
  const gate = context.directory.findLink(opts.gateName).unwrapOr(undefined);
  if (!gate) {
    return { end: fail('link-unopened', `gate ${opts.gateName}`), delivered: opts.delivered };
  }
  const progress = gate.startAttempt(order);
  const cancel = (): void => {
    cancelAttempt(opts, gate);
  };
  context.signal.addEventListener('abort', cancel, { once: true });
  if (context.signal.aborted) {
    cancel();
  }
  let { delivered } = opts;
  try {
    for await (const step of progress.read()) {
      if (step.kind === 'end') {
        return { end: checkWhole(step.end, delivered), delivered };
      }
      if (step.part.offsetTokens !== delivered.tokens) {
        gate.cancelAttempt(order, fail('stream-broken', 'a part of the stream is missing'));
        continue;
      }
      delivered = append(delivered, step.part);
      await context.takePart(step.part);
    }
  } finally {
    context.signal.removeEventListener('abort', cancel);
  }
  return { end: fail('stream-broken', 'the attempt has no end'), delivered };
}

function cancelAttempt(opts: RunAttemptOptions, gate: GateLink): void {
  const { context, request: order } = opts;
  const name = context.call.signal.aborted ? 'cancelled' : 'deadline-exceeded';
  gate.cancelAttempt(order, fail(name, `stage ${order.stage}`));
}

function append(delivered: DeliveredOutput, part: StagePart): DeliveredOutput {
  return { text: delivered.text + part.text, tokens: delivered.tokens + part.tokens };
}

/** A generation is whole only when every token that the engine made has arrived. */
function checkWhole(end: StageEnd, delivered: DeliveredOutput): StageEnd {
  if (end.code !== 0 || end.result?.kind !== 'generate' || end.result.tokens === delivered.tokens) {
    return end;
  }
  const detail = `${delivered.tokens} of ${end.result.tokens} tokens arrived`;
  return { ...fail('stream-broken', detail), queueMs: end.queueMs, runMs: end.runMs };
}

function fail(
  name: 'cancelled' | 'deadline-exceeded' | 'link-unopened' | 'stream-broken',
  detail: string,
): StageEnd {
  return toStageEnd(GalenatillerError.create({ name, detail }));
}
