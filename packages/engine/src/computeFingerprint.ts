import type { StageInput, StageRequest } from '@galenatiller/types';

import { hashText } from './xxhash.js';

/**
 * Fingerprint of what a stage is to run: equal for the same content sent again, by any caller
 * and at any attempt, also when a broken stream is resumed.
 */
export function computeFingerprint(order: StageRequest): string {
  return hashText([order.stage, order.input.kind, ...contentOf(order)].map(withLength).join(''));
}

/** The length keeps different parts apart that would be equal when joined. */
function withLength(part: string): string {
  return `${part.length}:${part}`;
}

function contentOf({ input, bodyDigest }: StageRequest): readonly string[] {
  switch (input.kind) {
    case 'encode':
      return input.texts;
    case 'retrieve':
      return [input.query, input.vector.join()];
    case 'rerank':
      return [input.query, ...input.passages.map(textOf)];
    case 'generate':
      return [input.prompt];
    default:
      return [bodyDigest];
  }
}

function textOf(passage: Extract<StageInput, { kind: 'rerank' }>['passages'][number]): string {
  return passage.text;
}
