import { GalenatillerError } from '@galenatiller/error';
import {
  createAttemptHeaders,
  sendRequest,
  type StreamedResponse,
  findStatusError,
  createTransportError,
} from '@galenatiller/http';
import type { StageInput, StageRequest, StagePart, StageResult } from '@galenatiller/types';
import { Result } from 'true-myth';

import { encodeGeneration, type GenerationEvent, readGeneration } from './wireGeneration.js';

/** Options of {@link runGeneration}. */
export interface RunGenerationOptions {
  /** Base URL of the engine. */
  readonly url: string;
  readonly order: StageRequest;
  /** Its abort cancels the generation at the engine. */
  readonly signal: AbortSignal;
  readonly onPart: (part: StagePart) => void;
  /** Told the identity of the engine process, which changes when the engine restarts. */
  readonly onStartId?: (startId: string) => void;
}

type GenerationEvents = ReturnType<typeof readGeneration>;

type GenerateInput = Extract<StageInput, { kind: 'generate' }>;

/** How far a stream has come. */
interface StreamPosition {
  readonly tokens: number;
  readonly finishReason: 'stop' | 'length' | undefined;
}

/**
 * Runs one generation on an engine and streams its parts.
 * The result counts the tokens of the whole answer, with those delivered before a resume.
 */
export async function runGeneration(
  opts: RunGenerationOptions,
): Promise<Result<StageResult, GalenatillerError>> {
  const { order, signal } = opts;
  const { input } = order;
  if (input.kind !== 'generate') {
    return Result.err(
      GalenatillerError.create({
        name: 'target-refused',
        detail: `an engine runs no ${input.kind} stage`,
      }),
    );
  }
  const opened = await sendRequest({
    url: opts.url,
    path: '/v1/completions',
    method: 'POST',
    headers: createAttemptHeaders(order),
    body: encodeGeneration({ input, priority: order.priority }),
    signal,
  });
  if (opened.isErr) {
    return Result.err(opened.error);
  }
  opts.onStartId?.(opened.value.header('x-engine-start-id'));
  try {
    return await readAnswer({ opts, input, response: opened.value });
  } catch (cause) {
    return Result.err(createTransportError({ cause, signal }));
  }
}

async function readAnswer({
  opts,
  input,
  response,
}: {
  readonly opts: RunGenerationOptions;
  readonly input: GenerateInput;
  readonly response: StreamedResponse;
}): Promise<Result<StageResult, GalenatillerError>> {
  if (response.status !== 200) {
    const refusal = findStatusError({ status: response.status, text: await response.body.text() });
    return Result.err(refusal.unwrapOr(broken('the answer has no stream')));
  }
  const events = readGeneration(response.body);
  const answer = await readEvents({ events, input, onPart: opts.onPart });
  if (answer.isErr) {
    // Cancels what the engine may still do.
    await events.return();
  } else {
    drain(events);
  }
  return answer;
}

async function readEvents({
  events,
  input,
  onPart,
}: {
  readonly events: GenerationEvents;
  readonly input: GenerateInput;
  readonly onPart: (part: StagePart) => void;
}): Promise<Result<StageResult, GalenatillerError>> {
  let position: StreamPosition = { tokens: input.deliveredTokens, finishReason: undefined };
  for (let read = await events.next(); !read.done; read = await events.next()) {
    const event = read.value;
    if (event.isErr) {
      return Result.err(event.error);
    }
    if (event.value.kind === 'done') {
      return endOf(position);
    }
    const moved = advance({ position, event: event.value, onPart });
    if (moved.isErr) {
      return Result.err(moved.error);
    }
    position = moved.value;
  }
  return Result.err(broken('the stream ended without its end marker'));
}

/** Reads what follows the end marker, so that the connection can be used again. */
function drain(events: GenerationEvents): void {
  events.next().catch(() => {
    // The answer is whole already.
  });
}

function advance({
  position,
  event,
  onPart,
}: {
  readonly position: StreamPosition;
  readonly event: Extract<GenerationEvent, { kind: 'text' }>;
  readonly onPart: (part: StagePart) => void;
}): Result<StreamPosition, GalenatillerError> {
  const { tokens } = position;
  if (event.offsetTokens !== undefined && event.offsetTokens !== tokens) {
    return Result.err(
      broken(`the engine sent token ${event.offsetTokens} in the place of token ${tokens}`),
    );
  }
  if (event.text !== '') {
    onPart({ offsetTokens: tokens, tokens: event.tokens, text: event.text });
  }
  return Result.ok({
    tokens: tokens + event.tokens,
    finishReason: event.finishReason ?? position.finishReason,
  });
}

function endOf({ tokens, finishReason }: StreamPosition): Result<StageResult, GalenatillerError> {
  return finishReason
    ? Result.ok({ kind: 'generate', tokens, finishReason })
    : Result.err(broken('the stream ended without a finish reason'));
}

function broken(detail: string): GalenatillerError {
  return GalenatillerError.create({ name: 'stream-broken', detail });
}
