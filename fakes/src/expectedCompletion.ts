import { computeSha256 } from './computeSha256.js';

/** Length of the prompt's mark in each word, in hex digits. */
const MARK_DIGITS = 6;

/** The word that a fake engine generates at one position; it names the prompt and the position. */
export function computeExpectedWord(prompt: string, tokenIndex: number): string {
  return `w${tokenIndex}-${markOf(prompt)} `;
}

/** The whole answer of a fake engine: `maxTokens` words. */
export function computeExpectedCompletion(prompt: string, maxTokens: number): string {
  return Array.from({ length: maxTokens }, (_, index) => computeExpectedWord(prompt, index)).join(
    '',
  );
}

function markOf(prompt: string): string {
  return computeSha256(prompt).slice(0, MARK_DIGITS);
}
