import type { StageInput, StageRequest } from '@galenatiller/types';

import { hashText } from './xxhash.js';

/**
 * Computes a fingerprint of the content that a stage runs. It is the same for every caller and
 * every attempt, including one that resumes a broken stream.
 */
export function computeFingerprint(request: StageRequest): string {
  return hashText(
    [request.stage, request.input.kind, ...getContent(request)].map(addLength).join(''),
  );
}

/**
 * Prefixes a part with its length, so that different lists of parts never join to the same text.
 */
function addLength(part: string): string {
  return `${part.length}:${part}`;
}

function getContent({ input, bodyDigest }: StageRequest): readonly string[] {
  switch (input.kind) {
    case 'encode':
      return input.texts;
    case 'retrieve':
      return [input.query, input.vector.join()];
    case 'rerank':
      return [input.query, ...input.passages.map(getText)];
    case 'generate':
      return [input.prompt];
    default:
      return [bodyDigest];
  }
}

function getText(passage: Extract<StageInput, { kind: 'rerank' }>['passages'][number]): string {
  return passage.text;
}
