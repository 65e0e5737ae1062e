import type { Passage } from '@galenatiller/types';

import { computeSha256 } from './computeSha256.js';

/** Number of elements of a fake vector. */
const VECTOR_LENGTH = 8;

/** Largest value of a byte. */
const MAX_BYTE = 255;

/** Computes the vector that a fake encoder returns for a text; its elements are from 0 to 1. */
export function computeExpectedVector(text: string): readonly number[] {
  return Array.from({ length: VECTOR_LENGTH }, (_, index) => hashToFraction(text, index));
}

/** Computes the passages that a fake retriever returns for a query, best first. */
export function computeExpectedPassages(query: string, limit: number): readonly Passage[] {
  const queryHash = computeSha256(query).slice(0, VECTOR_LENGTH);
  return Array.from({ length: limit }, (_, index) => ({
    id: `${queryHash}-${index}`,
    text: `passage ${index} for ${queryHash}`,
    score: 1 / (index + 1),
  }));
}

/** Computes the score, from 0 to 1, that a fake reranker gives a passage for a query. */
export function computeExpectedScore(query: string, text: string): number {
  return hashToFraction(`${query}\n${text}`, 0);
}

function hashToFraction(text: string, byteIndex: number): number {
  const hex = computeSha256(text).slice(byteIndex * 2, byteIndex * 2 + 2);
  return Number.parseInt(hex, 16) / MAX_BYTE;
}
