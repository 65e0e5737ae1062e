import type { Passage } from '@galenatiller/types';

import { computeSha256 } from './computeSha256.js';

/** Numbers in a fake vector. */
const VECTOR_LENGTH = 8;

/** Largest value of one byte. */
const MAX_BYTE = 255;

/** The vector that a fake encoder gives a text; each number is from 0 to 1. */
export function computeExpectedVector(text: string): readonly number[] {
  return Array.from({ length: VECTOR_LENGTH }, (_, index) => fraction(text, index));
}

/** The passages that a fake retriever finds for a query, best first. */
export function computeExpectedPassages(query: string, limit: number): readonly Passage[] {
  const mark = computeSha256(query).slice(0, VECTOR_LENGTH);
  return Array.from({ length: limit }, (_, index) => ({
    id: `${mark}-${index}`,
    text: `passage ${index} for ${mark}`,
    score: 1 / (index + 1),
  }));
}

/** The score that a fake reranker gives a passage for a query, from 0 to 1. */
export function computeExpectedScore(query: string, text: string): number {
  return fraction(`${query}\n${text}`, 0);
}

function fraction(text: string, byteIndex: number): number {
  const hex = computeSha256(text).slice(byteIndex * 2, byteIndex * 2 + 2);
  return Number.parseInt(hex, 16) / MAX_BYTE;
}
