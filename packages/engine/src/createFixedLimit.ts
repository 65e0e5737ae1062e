import type { TargetLimit } from './targetLimit.js';

/** A limit that never changes: the naive policy that measurements compare with. */
export function createFixedLimit(opts: { readonly inFlightLimit: number }): TargetLimit {
  let inFlight = 0;
  return {
    limit: () => opts.inFlightLimit,
    state: () => 'ready',
    onStarted: () => {
      inFlight += 1;
      return { turn: 0, inFlight };
    },
    onStartId: () => {},
    onEnded: () => {
      inFlight -= 1;
    },
  };
}
