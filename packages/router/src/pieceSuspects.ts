import type { PieceSuspects } from '@galenatiller/pool';
import { type CrashSuspects, getStartKey } from '@galenatiller/target';
import type { RouteConfig, RoutedCall, StagePiece } from '@galenatiller/types';

import { getPieceCount } from './computeStageDeadlines.js';
import type { CrashDetector } from './crashDetector.js';

/**
 * Fingerprint of a stage of a call, which other calls with the same content have too. It differs from
 * that of the call: a stage that completes is no proof that the call does not crash its targets.
 */
export function createStageFingerprint(opts: {
  /** Fingerprint of the content of the call. */
  readonly content: string;
  readonly pieceKey: string;
  readonly service: string;
  readonly position: number;
}): string {
  const { content, pieceKey, service, position } = opts;
  return `stage ${service} ${position} ${pieceKey} ${content}`;
}

/** The fingerprint for which a piece of a call is stopped, if there is one. */
export function findStoppedPiece(opts: {
  readonly crashSuspects: CrashSuspects;
  readonly route: Pick<RouteConfig, 'stages'>;
  readonly call: RoutedCall;
  /** Fingerprint of the content of the call. */
  readonly content: string;
}): string | undefined {
  const { crashSuspects, route, call, content } = opts;
  if (!crashSuspects.hasCrashes) {
    return undefined;
  }
  const { pieceKey } = call;
  const fingerprints = route.stages.flatMap(({ service }, position) => {
    const fingerprint = createStageFingerprint({ content, pieceKey, service, position });
    const count = getPieceCount(call, position);
    return Array.from({ length: count }, (_, piece) => toPieceFingerprint(fingerprint, piece));
  });
  return crashSuspects.findStopped(fingerprints);
}

/** Creates the access of the stage workers to the evidence on crashes, which routers share. */
export function createPieceSuspects(opts: {
  readonly crashSuspects: CrashSuspects;
  readonly crashDetector: CrashDetector;
}): PieceSuspects {
  const { crashSuspects, crashDetector } = opts;
  const isSuspect = (piece: StagePiece): boolean =>
    getPieceFingerprints(piece).some((fingerprint) => crashSuspects.isSuspect(fingerprint));
  return {
    isSuspect,
    isStopped: (piece) => crashSuspects.findStopped(getPieceFingerprints(piece)) !== undefined,
    recordBroken: async ({ target, pieces }) => {
      if (await crashDetector.hasCrashed(target)) {
        const fingerprints = pieces.flatMap(getPieceFingerprints);
        crashSuspects.recordCrash({ targetStart: getStartKey(target), fingerprints });
      }
    },
    recordMade: (piece) => {
      if (isSuspect(piece)) {
        crashSuspects.recordSound(getPieceFingerprints(piece));
      }
    },
  };
}

/** The fingerprint of a piece; none if the router that ordered it sent none. */
function getPieceFingerprints({ fingerprint, piece }: StagePiece): readonly string[] {
  return fingerprint === undefined ? [] : [toPieceFingerprint(fingerprint, piece)];
}

function toPieceFingerprint(stageFingerprint: string, piece: number): string {
  return `${stageFingerprint} ${piece}`;
}
