import { Batch, type BatchSpeed } from './engine/batch.js';
import { type CompletionRequest, completionRequestSchema } from './engine/completionRequest.js';
import { createFakeTarget, type FakeTarget, type FakeTargetOptions } from './createFakeTarget.js';
import { expectedWord } from './expectedAnswer.js';
import { sendJson } from './fakeServer.js';
import type { FakeRun } from './workDesk.js';

/** Options of {@link createFakeEngine}. */
export interface FakeEngineOptions extends FakeTargetOptions {
  readonly speed: BatchSpeed;
}

/** Starts a fake model engine with OpenAI-style streamed completions. */
export async function createFakeEngine(opts: FakeEngineOptions): Promise<FakeTarget> {
  const batch = Batch.create({
    timer: opts.timer,
    speed: opts.speed,
    slowFactor: () => target.faults.current.slowFactor,
  });
  const target: FakeTarget = await createFakeTarget({
    ...opts,
    workPaths: new Set(['/v1/completions']),
    run: (run) => complete({ run, batch, target }),
  });
  return target;
}

async function complete({
  run,
  batch,
  target,
}: {
  readonly run: FakeRun;
  readonly batch: Batch;
  readonly target: FakeTarget;
}): Promise<void> {
  const { exchange, end } = run;
  const parsed = completionRequestSchema.safeParse(JSON.parse(exchange.text));
  if (!parsed.success) {
    end('failed');
    sendJson(exchange.response, { status: 400, body: {} });
    return;
  }
  exchange.response.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-engine-start-id': run.startId,
  });
  exchange.response.flushHeaders();
  await streamAnswer({ run, batch, target, completion: parsed.data });
}

function streamAnswer({
  run: { exchange, end },
  batch,
  target,
  completion,
}: {
  readonly run: FakeRun;
  readonly batch: Batch;
  readonly target: FakeTarget;
  readonly completion: CompletionRequest;
}): Promise<void> {
  const { response, signal } = exchange;
  const { faults } = target;
  const { prompt, max_tokens: maxTokens, resume_from: resume } = completion;
  const breaks = faults.draw(faults.current.breakShare);
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
    batch.submit({
      priority: completion.priority,
      prefillMs: 0,
      tokens: Math.max(0, maxTokens - resume.tokens),
      signal,
      onToken: (index) => {
        if (breaks && index >= faults.current.breakAfterTokens) {
          end('failed', resume.tokens + index);
          response.destroy();
          return;
        }
        const position = resume.tokens + index;
        sendChunk({ text: expectedWord(prompt, position), position, maxTokens });
      },
      onEnd: () => {
        end('answered', maxTokens);
        response.end('data: [DONE]\n\n');
        resolve();
      },
    });
  });

  function sendChunk(chunk: {
    readonly text: string;
    readonly position: number;
    readonly maxTokens: number;
  }): void {
    const choice = {
      text: chunk.text,
      token_count: 1,
      token_offset: chunk.position,
      finish_reason: chunk.position + 1 === chunk.maxTokens ? 'length' : null,
    };
    response.write(`data: ${JSON.stringify({ choices: [choice] })}\n\n`);
  }
}
