import assert from 'node:assert/strict';

import type { ManualClock } from '@galenatiller/timer';
import { TimerService } from '@galenatiller/timer';
import type { RegisteredTarget, RolloutOrder, RolloutState } from '@galenatiller/types';

import type { ObservedRun } from '../src/observedRun.js';
import { Rollouts } from '../src/rollouts.js';

/** The rollouts of one scenario. */
export interface RolloutWorld {
  /** Times of the slow runs of the new version. */
  slowRunsAtMs: number[];
  /** Number of rollouts that were rolled back, of several in a row. */
  rolledBack: number;
  /** Whether the router hears nothing of the store. */
  isCutOff?: boolean;
  rolloutClock: ManualClock;
  rollouts: Rollouts;
  order: RolloutOrder;
  versionTargets: readonly RegisteredTarget[];
  newCalls: number;
  calls: number;
  startedAtMs: number;
  rolledBackAtMs: number | undefined;
  ownerState: RolloutState;
}

/** Numbers from 0 to 1 that are spread evenly. */
const GOLDEN_RATIO = 0.618_034;

/** Revision of the store at which the order is written. */
export const ORDER_REVISION = 31;

/** How often the owner decides. */
const CALLS_PER_DECISION = 20;

/** A number from 0 to 1 for each index and seed, which comes in clumps like chance. */
export function drawUnevenly(index: number, seed = 0): number {
  const scaled = Math.sin(index * 12.989_8 + seed * 78.233) * 43_758.545_3;
  return scaled - Math.floor(scaled);
}

/** Creates a target of a version. */
export function createTarget(version: string, index: number): RegisteredTarget {
  return {
    id: `${version}-${index}`,
    startedWallMs: 1,
    service: 'shop',
    address: `10.0.0.${index}:80`,
    availabilityZone: 'zone',
    version,
    slots: 4,
    state: 'ready',
  };
}

/** Creates the rollouts of a router. */
export function createRollouts(world: RolloutWorld): Rollouts {
  let drawn = 0;
  return Rollouts.create({
    timer: TimerService.create({ clock: world.rolloutClock }),
    random: () => {
      drawn += GOLDEN_RATIO;
      return drawn % 1;
    },
    unprovedShare: 0.1,
    isInTouch: () => !world.isCutOff,
    onStoppedChanged: () => {},
    onEnded: ({ state }) => {
      if (state === 'rolled-back') {
        world.rolledBackAtMs = world.rolloutClock.nowMs();
      }
    },
  });
}

/** Starts the rollout that was ordered, and the counts of the calls. */
export function startRollout(world: RolloutWorld): void {
  world.newCalls = 0;
  world.calls = 0;
  world.rolledBackAtMs = undefined;
  world.ownerState = 'running';
  world.startedAtMs = world.rolloutClock.nowMs();
  world.rollouts = createRollouts(world);
  world.rollouts.setOrder(world.order);
}

/** Makes calls at a steady rate; the owner decides after each few of them. */
export async function makeCalls(
  world: RolloutWorld,
  opts: {
    readonly calls: number;
    readonly forS: number;
    readonly run: (target: RegisteredTarget) => Omit<ObservedRun, 'target'>;
  },
): Promise<void> {
  const { rollouts } = world;
  for (let call = 1; call <= opts.calls; call += 1) {
    const [target] = rollouts.select('shop', world.versionTargets);
    assert.ok(target);
    world.calls += 1;
    world.newCalls += target.version === 'v2' ? 1 : 0;
    rollouts.observe({ target, ...opts.run(target) });
    await world.rolloutClock.advance({ byMs: (opts.forS * 1_000) / opts.calls });
    if (call % CALLS_PER_DECISION === 0) {
      rollouts.takeEvidence().forEach((evidence) => rollouts.addEvidence(evidence));
      world.ownerState = rollouts.decide(() => true)[0]?.state ?? 'running';
    }
  }
}
