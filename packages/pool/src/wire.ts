/** Encodes requests to pools and decodes their responses. */
import { GalenatillerError } from '@galenatiller/error';
import { decodeJson } from '@galenatiller/http';
import type { Passage, StageInput, StageResult } from '@galenatiller/types';
import { Result } from 'true-myth';
import { z } from 'zod';

/** Input of a stage kind that pools run. */
export type PoolInput = Extract<StageInput, { kind: 'encode' | 'retrieve' | 'rerank' }>;

/** HTTP path and body of a request. */
export interface EncodedPoolRequest {
  readonly path: string;
  readonly body: string;
}

/** Options of {@link decodePoolResponse}. */
export interface DecodePoolResponseOptions {
  readonly input: PoolInput;
  readonly text: string;
}

type Decoded = Result<StageResult, GalenatillerError>;

const embeddingsBody = z.object({
  data: z.array(z.object({ index: z.int(), embedding: z.array(z.number()) })),
});
const passagesBody = z.object({
  passages: z.array(z.object({ id: z.string(), text: z.string(), score: z.number() })),
});
const rerankBody = z.object({
  results: z.array(z.object({ index: z.int(), relevance_score: z.number() })),
});

/** Encodes the input of a pool stage as an HTTP request. */
export function encodePoolRequest(input: PoolInput): EncodedPoolRequest {
  switch (input.kind) {
    case 'encode':
      return { path: '/v1/embeddings', body: JSON.stringify({ input: input.texts }) };
    case 'retrieve':
      return {
        path: '/v1/retrieve',
        body: JSON.stringify({
          query: input.query,
          vector: input.vector,
          limit: input.passageLimit,
        }),
      };
    default:
      return {
        path: '/v1/rerank',
        body: JSON.stringify({
          query: input.query,
          documents: input.passages.map(({ id, text }) => ({ id, text })),
        }),
      };
  }
}

/** Decodes a response and checks that it covers the complete input. */
export function decodePoolResponse({ input, text }: DecodePoolResponseOptions): Decoded {
  switch (input.kind) {
    case 'encode':
      return decodeVectors(input.texts, text);
    case 'retrieve':
      return decodeJson({ text, schema: passagesBody }).map(({ passages }) => ({
        kind: 'retrieve',
        passages: passages.slice(0, input.passageLimit),
      }));
    default:
      return decodeRanking(input.passages, text);
  }
}

function decodeVectors(texts: readonly string[], text: string): Decoded {
  return decodeJson({ text, schema: embeddingsBody }).andThen(({ data }): Decoded => {
    const vectors = new Map(data.map(({ index, embedding }) => [index, embedding]));
    const ordered = texts.flatMap((_, index) => {
      const vector = vectors.get(index);
      return vector ? [vector] : [];
    });
    return ordered.length === texts.length
      ? Result.ok({ kind: 'encode', vectors: ordered })
      : incompleteResponse('vectors', ordered.length, texts.length);
  });
}

function decodeRanking(passages: readonly Passage[], text: string): Decoded {
  return decodeJson({ text, schema: rerankBody }).andThen(({ results }): Decoded => {
    const ranked = results.flatMap(({ index, relevance_score: score }) => {
      const passage = passages[index];
      return passage ? [{ ...passage, score }] : [];
    });
    const distinct = new Set(results.map(({ index }) => index)).size;
    return ranked.length === passages.length && distinct === ranked.length
      ? Result.ok({ kind: 'rerank', passages: ranked })
      : incompleteResponse('passages', distinct, passages.length);
  });
}

function incompleteResponse(what: string, found: number, expected: number): Decoded {
  return Result.err(
    GalenatillerError.create({
      name: 'target-failed',
      detail: `the response has ${found} of ${expected} ${what}`,
    }),
  );
}
