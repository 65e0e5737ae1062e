import type { RegisteredTarget } from '@galenatiller/types';

/**
 * A change in this node's view of a target or a zone. `lapsed`: the entry of the target is missing
 * after a store outage, and the target is kept for now.
 */
export interface TargetChange {
  readonly kind: 'listed' | 'draining' | 'restarted' | 'gone' | 'lapsed' | 'zone-out' | 'zone-in';
  /** Id of the target, or name of the zone. */
  readonly name: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly storeRevision: number;
}

/** Whether shards, their owners and the tasks of workers may depend on the difference. */
export function isAssignedAnew(before: RegisteredTarget, after: RegisteredTarget): boolean {
  return (
    before.service !== after.service ||
    before.availabilityZone !== after.availabilityZone ||
    before.address !== after.address ||
    before.startedWallMs !== after.startedWallMs ||
    before.state !== after.state
  );
}

/** Kind of the change that an entry makes; undefined if it is not reported. */
export function findChangeKind(
  before: RegisteredTarget | undefined,
  after: RegisteredTarget,
): TargetChange['kind'] | undefined {
  if (after.state === 'draining') {
    return before?.state === 'draining' ? undefined : 'draining';
  }
  if (!before) {
    return 'listed';
  }
  return before.startedWallMs === after.startedWallMs ? undefined : 'restarted';
}
