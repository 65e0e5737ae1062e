import type { RegisteredTarget } from '@galenatiller/types';

/** Key of one start of a target. */
export function getStartKey(target: RegisteredTarget): string {
  return `${target.id} ${target.startedWallMs} ${target.address}`;
}
