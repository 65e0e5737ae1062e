import { z } from 'zod';

/** Schema of the body of `POST /v1/completions`. */
export const completionRequestSchema = z.object({
  prompt: z.string(),
  max_tokens: z.int().positive(),
  stream: z.literal(true),
  priority: z.int().default(0),
  resume_from: z
    .object({ text: z.string(), tokens: z.int().nonnegative() })
    .default({ text: '', tokens: 0 }),
});

/** A request for a streaming completion. */
export type CompletionRequest = z.infer<typeof completionRequestSchema>;
