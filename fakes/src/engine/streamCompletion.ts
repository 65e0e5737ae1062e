import { computeExpectedWord } from '../expectedCompletion.js';
import type { FaultInjector } from '../faultInjector.js';
import type { FakeRun } from '../executor.js';
import type { Batch } from './batch.js';
import type { CompletionRequest } from './completionRequest.js';

/** Options of {@link streamCompletion}. */
export interface StreamCompletionOptions {
  readonly run: FakeRun;
  readonly batch: Batch;
  readonly faults: FaultInjector;
  readonly completion: CompletionRequest;
  readonly prefillMs: number;
}

/** Streams one completion as server-sent events; resolves when it ends in any way. */
export function streamCompletion(opts: StreamCompletionOptions): Promise<void> {
  const { run, faults, completion } = opts;
  const { response, signal } = run.exchange;
  const { prompt, max_tokens: maxTokens, resume_from: resume } = completion;
  const breaks = faults.drawBoolean(faults.current.breakShare);
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
    opts.batch.submit({
      priority: completion.priority,
      prefillMs: opts.prefillMs * run.slowFactor,
      tokens: Math.max(0, maxTokens - resume.tokens),
      stepsPerToken: run.slowFactor,
      signal,
      onToken: (index) => {
        const position = resume.tokens + index;
        if (breaks && index >= faults.current.breakAfterTokens) {
          run.end('failed', position);
          response.destroy();
          return;
        }
        response.write(chunkOf({ prompt, position, maxTokens }));
      },
      onEnd: () => {
        run.end('answered', maxTokens);
        response.end('data: [DONE]\n\n');
        resolve();
      },
    });
  });
}

function chunkOf(chunk: {
  readonly prompt: string;
  readonly position: number;
  readonly maxTokens: number;
}): string {
  const choice = {
    text: computeExpectedWord(chunk.prompt, chunk.position),
    token_count: 1,
    token_offset: chunk.position,
    finish_reason: chunk.position + 1 === chunk.maxTokens ? 'length' : null,
  };
  return `data: ${JSON.stringify({ choices: [choice] })}\n\n`;
}
