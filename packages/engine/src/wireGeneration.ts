/** Encodes generation requests and decodes the event stream of a model engine. */
import type { GalenatillerError } from '@galenatiller/error';
import { decodeJson } from '@galenatiller/http';
import type { Priority, StageInput } from '@galenatiller/types';
import { Result } from 'true-myth';
import { z } from 'zod';

import { readEventData } from './wireEvents.js';

/** One event of a generation stream. */
export type GenerationEvent =
  | {
      readonly kind: 'text';
      readonly text: string;
      readonly tokens: number;
      /** Position of the text in the complete response, if the engine reports it. */
      readonly offsetTokens: number | undefined;
      readonly finishReason: 'stop' | 'length' | undefined;
    }
  | { readonly kind: 'done' };

/** Options of {@link encodeGeneration}. */
export interface EncodeGenerationOptions {
  readonly input: Extract<StageInput, { kind: 'generate' }>;
  readonly priority: Priority;
}

/** The data of the event that ends a stream. */
const DONE = '[DONE]';

const chunkBody = z.object({
  choices: z.tuple([
    z.object({
      text: z.string(),
      finish_reason: z.enum(['stop', 'length']).nullable().optional(),
      token_count: z.int().nonnegative().optional(),
      token_offset: z.int().nonnegative().optional(),
    }),
  ]),
});

/** Encodes the body of a streamed completion; engines run lower priority numbers first. */
export function encodeGeneration({ input, priority }: EncodeGenerationOptions): string {
  const resume = { text: input.deliveredText, tokens: input.deliveredTokens };
  return JSON.stringify({
    prompt: input.prompt,
    max_tokens: input.maxTokens,
    stream: true,
    priority: priority === 'interactive' ? 0 : 1,
    ...(input.deliveredTokens > 0 ? { resume_from: resume } : {}),
  });
}

/** Decodes a server-sent event stream into its events, in order. */
export async function* readGeneration(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<Result<GenerationEvent, GalenatillerError>, void, void> {
  for await (const data of readEventData(body)) {
    yield decodeGenerationEvent(data);
  }
}

function decodeGenerationEvent(data: string): Result<GenerationEvent, GalenatillerError> {
  if (data === DONE) {
    return Result.ok({ kind: 'done' });
  }
  return decodeJson({ text: data, schema: chunkBody }).map(({ choices: [choice] }) => ({
    kind: 'text',
    text: choice.text,
    tokens: choice.token_count ?? 1,
    offsetTokens: choice.token_offset,
    finishReason: choice.finish_reason ?? undefined,
  }));
}
