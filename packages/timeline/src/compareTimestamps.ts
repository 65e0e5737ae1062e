import type { HybridTimestamp } from '@galenatiller/types';

/** Compares two timestamps: negative when the left one is earlier, positive when it is later. */
export function compareTimestamps(left: HybridTimestamp, right: HybridTimestamp): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
