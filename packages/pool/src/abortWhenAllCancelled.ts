import type { TakenPiece } from './takeOptions.js';

/** Creates a signal that aborts once all pieces are cancelled. */
export function abortWhenAllCancelled(taken: readonly TakenPiece[]): {
  readonly signal: AbortSignal;
  readonly release: () => void;
} {
  const controller = new AbortController();
  // The pieces of a stage of a request share a signal.
  const signals = new Set(taken.map((piece) => piece.signal));
  const check = (): void => {
    if ([...signals].every((signal) => signal.aborted)) {
      controller.abort();
    }
  };
  signals.forEach((signal) => signal.addEventListener('abort', check, { once: true }));
  check();
  const release = (): void => {
    signals.forEach((signal) => signal.removeEventListener('abort', check));
  };
  return { signal: controller.signal, release };
}
