import type { HybridTimestamp } from '@galenatiller/types';

/** Below 0 when the left stamp is earlier, above 0 when it is later. */
export function compareTimestamps(left: HybridTimestamp, right: HybridTimestamp): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
