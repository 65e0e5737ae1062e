import type { PauseRequest } from '@galenatiller/types';

/** The time for which a target is sent nothing, and whether that is what it asked for. */
export interface BoundedPause {
  readonly pauseMs: number;
  readonly kind: 'as-asked' | 'too-long' | 'negative' | 'unreadable' | 'several';
}

/** Longest pause that is granted; a longer one is more likely a fault than a plan. */
const MAX_PAUSE_MS = 60_000;

/** Pause after a request that states no readable time: the target is known to be overloaded now. */
const UNREADABLE_PAUSE_MS = 500;

/** Bounds the pause that a target asks for; of several times the longest one counts. */
export function boundPause({ valuesMs }: PauseRequest): BoundedPause {
  const readable = valuesMs.filter((valueMs) => !Number.isNaN(valueMs));
  if (readable.length === 0) {
    return { pauseMs: UNREADABLE_PAUSE_MS, kind: 'unreadable' };
  }
  const longestMs = Math.max(...readable);
  if (longestMs < 0) {
    return { pauseMs: 0, kind: 'negative' };
  }
  if (longestMs > MAX_PAUSE_MS) {
    return { pauseMs: MAX_PAUSE_MS, kind: 'too-long' };
  }
  return { pauseMs: longestMs, kind: valuesMs.length > 1 ? 'several' : 'as-asked' };
}
