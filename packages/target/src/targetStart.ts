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

/** The starts of targets, since each call asks for that of each target of its service. */
const starts = new WeakMap<RegisteredTarget, TargetStart>();

/** The start that a registered target describes. */
export function toTargetStart(target: RegisteredTarget): TargetStart {
  const known = starts.get(target);
  if (known) {
    return known;
  }
  const { id: targetId, address, startedWallMs } = target;
  const start = { targetId, start: getStartKey(target), address, isStartKnown: startedWallMs > 0 };
  starts.set(target, start);
  return start;
}
