import { GalenatillerError } from '@galenatiller/error';
import { toStageEnd } from '@galenatiller/node';
import type { StageEnd, StageRequest, StagePart } from '@galenatiller/types';

import { type AbortCause, type CallContext, findAbortCause } from './callContext.js';
import type { GateLink } from './gateLink.js';
import type { DeliveredOutput } from './stageInput.js';

/** Options of {@link runAttempt}. */
export interface RunAttemptOptions {
  readonly context: CallContext;
  readonly gateName: string;
  readonly request: StageRequest;
  readonly delivered: DeliveredOutput;
}

/** Result of an attempt, and the output that the caller has received so far. */
export interface AttemptEnd {
  readonly end: StageEnd;
  readonly delivered: DeliveredOutput;
  /** Time from the sending of the request to the first part of its stream; undefined before it. */
  readonly firstPartMs?: number | undefined;
}

/** Sends one stage request to a gate and forwards the streamed parts to the caller. */
export async function runAttempt(opts: RunAttemptOptions): Promise<AttemptEnd> {
  const { context, request } = opts;
  const gate = context.directory.findLink(opts.gateName).unwrapOr(undefined);
  if (!gate) {
    return {
      end: createFailedEnd('link-unopened', `gate ${opts.gateName}`),
      delivered: opts.delivered,
    };
  }
  const events = gate.startAttempt(request);
  const cancel = (): void => {
    cancelAttempt(opts, gate);
  };
  context.signal.addEventListener('abort', cancel, { once: true });
  if (context.signal.aborted) {
    cancel();
  }
  let { delivered } = opts;
  const sentAtMs = context.timer.nowMs();
  let firstPartMs: number | undefined;
  try {
    for await (const event of events.read()) {
      if (event.kind === 'end') {
        return { end: checkComplete(event.end, delivered), delivered, firstPartMs };
      }
      firstPartMs ??= context.timer.nowMs() - sentAtMs;
      if (event.part.offsetTokens !== delivered.tokens) {
        gate.cancelAttempt(
          request,
          createFailedEnd('stream-broken', 'a part of the stream is missing'),
        );
        continue;
      }
      delivered = appendPart(delivered, event.part);
      await context.writePart(event.part);
    }
  } finally {
    context.signal.removeEventListener('abort', cancel);
  }
  return {
    end: createFailedEnd('stream-broken', 'the attempt stopped without a result'),
    delivered,
  };
}

function cancelAttempt(opts: RunAttemptOptions, gate: GateLink): void {
  const { context, request } = opts;
  gate.cancelAttempt(request, createFailedEnd(findAbortCause(context), `stage ${request.stage}`));
}

function appendPart(delivered: DeliveredOutput, part: StagePart): DeliveredOutput {
  return { text: delivered.text + part.text, tokens: delivered.tokens + part.tokens };
}

/** A generation is complete only when every token that the engine produced has arrived. */
function checkComplete(end: StageEnd, delivered: DeliveredOutput): StageEnd {
  if (end.code !== 0 || end.result?.kind !== 'generate' || end.result.tokens === delivered.tokens) {
    return end;
  }
  const detail = `received ${delivered.tokens} of ${end.result.tokens} tokens`;
  return { ...createFailedEnd('stream-broken', detail), queueMs: end.queueMs, runMs: end.runMs };
}

function createFailedEnd(
  name: AbortCause | 'link-unopened' | 'stream-broken',
  detail: string,
): StageEnd {
  return toStageEnd(GalenatillerError.create({ name, detail }));
}
