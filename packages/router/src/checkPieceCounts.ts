import { GalenatillerError } from '@galenatiller/error';
import type { RouteConfig, RoutedCall } from '@galenatiller/types';

import { getPieceCount } from './computeStageDeadlines.js';

/** Maximum number of pieces of all stages of a call, each of which takes memory from its start. */
const MAX_PIECES = 1_000;

/** The error that refuses a call whose numbers of pieces can't be read or are too large; undefined for others. */
export function checkPieceCounts(
  call: RoutedCall,
  route: RouteConfig,
): GalenatillerError | undefined {
  const counts = route.stages.map((_, position) => getPieceCount(call, position));
  const unreadable = counts.findIndex(Number.isNaN);
  if (unreadable !== -1) {
    return refuse(`the number of pieces of stage ${unreadable} is not a whole number`);
  }
  const pieces = counts.reduce((sum, count) => sum + count, 0);
  return pieces > MAX_PIECES ? refuse(`${pieces} pieces of stages, over ${MAX_PIECES}`) : undefined;
}

function refuse(detail: string): GalenatillerError {
  return GalenatillerError.create({ name: 'malformed-header', detail });
}
