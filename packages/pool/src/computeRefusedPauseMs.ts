/** Options of {@link computeRefusedPauseMs}. */
export interface RefusedPauseOptions {
  /** Number of refusals in a row, at least 1. */
  readonly refusals: number;
  /** Number of nodes that may send to the worker. */
  readonly senders: number;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
}

/** Pause of an only sender after a first refusal; about a sixth of the duration of a batch call. */
const BASE_PAUSE_MS = 40;

const MAX_DOUBLINGS = 3;

/**
 * Pause after a full worker refused a batch call. It grows with the number of senders, so that all of
 * them together try as often as an only one would, and is spread so that they don't try at once.
 */
export function computeRefusedPauseMs(opts: RefusedPauseOptions): number {
  const { refusals, senders, random } = opts;
  const doublings = Math.min(MAX_DOUBLINGS, refusals - 1);
  const pauseMs = BASE_PAUSE_MS * senders * 2 ** doublings;
  return senders === 1 ? pauseMs : pauseMs * (0.5 + random());
}
