import { MAX_RESPONSE_BYTES } from '@galenatiller/constants';
import { GalenatillerError } from '@galenatiller/error';
import {
  createAttemptHeaders,
  type OnTargetNotice,
  readAll,
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
  /** Aborting it cancels the generation at the engine. */
  readonly signal: AbortSignal;
  readonly onPart: (part: StagePart) => void;
  /** Called with the identity of the engine process, which changes when the engine restarts. */
  readonly onStartId?: (startId: string) => void;
  readonly onNotice?: OnTargetNotice;
}

type GenerationEvents = ReturnType<typeof readGeneration>;

type GenerateInput = Extract<StageInput, { kind: 'generate' }>;

/** Progress of a stream. */
interface StreamPosition {
  readonly tokens: number;
  readonly finishReason: 'stop' | 'length' | undefined;
}

/**
 * Runs one generation on an engine and streams its parts. The token count of the result covers the
 * complete response, including the tokens that were delivered before a resume.
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
        detail: `an engine can't run ${input.kind} stages`,
      }),
    );
  }
  const opened = await sendRequest({
    ...opts,
    path: '/v1/completions',
    method: 'POST',
    headers: createAttemptHeaders(order),
    body: encodeGeneration({ input, priority: order.priority }),
  });
  if (opened.isErr) {
    return Result.err(opened.error);
  }
  opts.onStartId?.(opened.value.header('x-engine-start-id'));
  try {
    return await readResponse({ opts, input, response: opened.value });
  } catch (cause) {
    return Result.err(createTransportError({ cause, signal }));
  }
}

async function readResponse({
  opts,
  input,
  response,
}: {
  readonly opts: RunGenerationOptions;
  readonly input: GenerateInput;
  readonly response: StreamedResponse;
}): Promise<Result<StageResult, GalenatillerError>> {
  if (response.status !== 200) {
    const bytes = await readAll({ body: response.body, maxBytes: MAX_RESPONSE_BYTES });
    const refusal = findStatusError({ status: response.status, text: bytes.toString('utf8') });
    return Result.err(refusal.unwrapOr(createBrokenStreamError('the response has no stream')));
  }
  const events = readGeneration(response.body);
  const result = await readEvents({ events, input, onPart: opts.onPart });
  if (result.isErr) {
    // Cancels the generation if the engine is still running it.
    await events.return();
  } else {
    drain(events);
  }
  return result;
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
      return createResult(position);
    }
    const advanced = advance({ position, event: event.value, onPart });
    if (advanced.isErr) {
      return Result.err(advanced.error);
    }
    position = advanced.value;
  }
  return Result.err(createBrokenStreamError('the stream ended without its end marker'));
}

/** Reads the rest of the stream after the end marker, so that the connection can be reused. */
function drain(events: GenerationEvents): void {
  events.next().catch(() => {
    // The response is already complete.
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
      createBrokenStreamError(
        `the engine sent token ${event.offsetTokens} where token ${tokens} was expected`,
      ),
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

function createResult({
  tokens,
  finishReason,
}: StreamPosition): Result<StageResult, GalenatillerError> {
  return finishReason
    ? Result.ok({ kind: 'generate', tokens, finishReason })
    : Result.err(createBrokenStreamError('the stream ended without a finish reason'));
}

function createBrokenStreamError(detail: string): GalenatillerError {
  return GalenatillerError.create({ name: 'stream-broken', detail });
}
