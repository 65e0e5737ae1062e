import type { Clock } from './clock.js';

/** The clock of the operating system. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  arm: ({ delayMs, wake }) => {
    const handle = setTimeout(wake, delayMs);
    return () => {
      clearTimeout(handle);
    };
  },
};
