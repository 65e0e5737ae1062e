import type { PieceResult, RegisteredTarget, StagePiece } from '@galenatiller/types';

/** What is known of pieces that may crash the workers that run them. */
export interface PieceSuspects {
  /** Whether a worker crashed while it ran the piece, and none has completed it since. */
  readonly isSuspect: (piece: StagePiece) => boolean;
  /** Whether the piece has crashed so many workers that no other one may run it. */
  readonly isStopped: (piece: StagePiece) => boolean;
  /** Finds out whether a worker crashed that gave no response to a batch call, and records it. */
  readonly recordBroken: (opts: {
    readonly target: RegisteredTarget;
    readonly pieces: readonly StagePiece[];
  }) => Promise<void>;
  /** Records that a worker has completed the piece. */
  readonly recordMade: (piece: StagePiece) => void;
}

/** Knows no suspects, for stages without evidence on crashes. */
export const NO_SUSPECTS: PieceSuspects = {
  isSuspect: () => false,
  isStopped: () => false,
  recordBroken: () => Promise.resolve(),
  recordMade: () => {},
};

const STOPPED: PieceResult = { kind: 'failed', reason: 'unreachable' };

/** Fails the pieces that are stopped, and returns the others. */
export function failStopped<
  Taken extends {
    readonly queued: { readonly piece: StagePiece };
    readonly settle: (result: PieceResult) => void;
  },
>({ isStopped }: Pick<PieceSuspects, 'isStopped'>, taken: readonly Taken[]): readonly Taken[] {
  const stopped = new Set(taken.filter(({ queued }) => isStopped(queued.piece)));
  stopped.forEach(({ settle }) => settle(STOPPED));
  return taken.filter((piece) => !stopped.has(piece));
}

/**
 * Leaves a suspect alone in its batch call: the pieces that only shared a call with it complete in
 * others, and what crashes the next worker is known.
 */
export function isolateSuspects<Queued extends { readonly piece: StagePiece }>(
  chosen: readonly Queued[],
  isSuspect: PieceSuspects['isSuspect'],
): readonly Queued[] {
  const [first] = chosen;
  return first && isSuspect(first.piece)
    ? [first]
    : chosen.filter(({ piece }) => !isSuspect(piece));
}
