import { computeSha256 } from './computeSha256.js';

/** Length of the prompt hash in each word, in hex digits. */
const PROMPT_HASH_DIGITS = 6;

/** Computes the word that a fake engine generates at a position, unique for prompt and position. */
export function computeExpectedWord(prompt: string, tokenIndex: number): string {
  return `w${tokenIndex}-${hashPrompt(prompt)} `;
}

/** Computes the complete text that a fake engine generates: `maxTokens` words. */
export function computeExpectedCompletion(prompt: string, maxTokens: number): string {
  return Array.from({ length: maxTokens }, (_, index) => computeExpectedWord(prompt, index)).join(
    '',
  );
}

function hashPrompt(prompt: string): string {
  return computeSha256(prompt).slice(0, PROMPT_HASH_DIGITS);
}
