import { PREFIX_BLOCK_CHARS } from '@galenatiller/constants';
import type { StageRequest } from '@galenatiller/types';

import { computePrefixHashes } from './computePrefixHashes.js';

/** Bounds the size of the evidence on one prompt. */
const MAX_BLOCKS = 128;

/** Computes fingerprints of the beginnings of a stage's prompt, shortest first; none without a prompt. */
export function computePrefixFingerprints({
  stage,
  input,
}: Pick<StageRequest, 'stage' | 'input'>): readonly string[] {
  if (input.kind !== 'generate') {
    return [];
  }
  const beginning = input.prompt.slice(0, MAX_BLOCKS * PREFIX_BLOCK_CHARS);
  return computePrefixHashes(beginning).map((hash) => `${stage} ${hash}`);
}
