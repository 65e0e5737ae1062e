import { z } from 'zod';

import { createFakeTarget, type FakeTarget, type FakeTargetOptions } from './createFakeTarget.js';
import {
  computeExpectedPassages,
  computeExpectedScore,
  computeExpectedVector,
} from './expectedPoolResults.js';
import { sendJson } from './fakeServer.js';
import { Semaphore } from './semaphore.js';
import type { FakeRun } from './executor.js';

/** Options of {@link createFakePool}. */
export interface FakePoolOptions extends FakeTargetOptions {
  readonly serviceMs: number;
  /** Requests that are served at once; others wait. */
  readonly concurrency: number;
}

/** What a path does with a body. */
type Answer = (body: unknown) => unknown;

const embeddingsSchema = z.object({ input: z.array(z.string()) });
const retrieveSchema = z.object({ query: z.string(), limit: z.int().positive() });
const rerankSchema = z.object({
  query: z.string(),
  documents: z.array(z.object({ id: z.string(), text: z.string() })),
});

const ANSWERS: ReadonlyMap<string, Answer> = new Map([
  ['/v1/embeddings', embed],
  ['/v1/retrieve', retrieve],
  ['/v1/rerank', rerank],
]);

/** Starts a fake pool worker that encodes, retrieves and reranks. */
export async function createFakePool(opts: FakePoolOptions): Promise<FakeTarget> {
  const slots = Semaphore.create({ count: opts.concurrency });
  const target: FakeTarget = await createFakeTarget({
    ...opts,
    workPaths: new Set(ANSWERS.keys()),
    run: (run) => slots.withPermit(() => serve(run)),
  });
  return target;

  async function serve({ exchange, end, slowFactor }: FakeRun): Promise<void> {
    const delayMs = opts.serviceMs * target.faults.current.slowFactor * slowFactor;
    await opts.timer.sleep({ delayMs, signal: exchange.signal });
    if (exchange.signal.aborted) {
      return;
    }
    const body = ANSWERS.get(exchange.path)?.(JSON.parse(exchange.text));
    end('answered');
    sendJson(exchange.response, { status: 200, body });
  }
}

function embed(body: unknown): unknown {
  const { input } = embeddingsSchema.parse(body);
  return { data: input.map((text, index) => ({ index, embedding: computeExpectedVector(text) })) };
}

function retrieve(body: unknown): unknown {
  const { query, limit } = retrieveSchema.parse(body);
  return { passages: computeExpectedPassages(query, limit) };
}

function rerank(body: unknown): unknown {
  const { query, documents } = rerankSchema.parse(body);
  const results = documents
    .map(({ text }, index) => ({ index, relevance_score: computeExpectedScore(query, text) }))
    .sort((left, right) => right.relevance_score - left.relevance_score);
  return { results };
}
