import type { ConcurrencyLimit } from './concurrencyLimit.js';

/** Creates a limit that never changes: the naive policy that benchmarks compare with. */
export function createFixedLimit(opts: { readonly inFlightLimit: number }): ConcurrencyLimit {
  let inFlight = 0;
  return {
    limit: () => opts.inFlightLimit,
    state: () => 'ready',
    onRunStarted: () => {
      inFlight += 1;
      return { coldStartNumber: 0, inFlight };
    },
    onStartId: () => {},
    onRunEnded: () => {
      inFlight -= 1;
    },
  };
}
