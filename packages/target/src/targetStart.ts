import type { RegisteredTarget } from '@galenatiller/types';

import { getStartKey } from './getStartKey.js';

/** One start of a target: a target that is started again is another one. */
export interface TargetStart {
  readonly targetId: string;
  /** Key of the start. */
  readonly start: string;
  readonly address: string;
  /** Whether a later start of the target has another key. */
  readonly isStartKnown: boolean;
}

/** The start that a registered target describes. */
export function toTargetStart(target: RegisteredTarget): TargetStart {
  const { id: targetId, address, startedWallMs } = target;
  return { targetId, start: getStartKey(target), address, isStartKnown: startedWallMs > 0 };
}
