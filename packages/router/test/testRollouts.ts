import type { TimerService } from '@galenatiller/timer';

import { Rollouts } from '../src/rollouts.js';

/** Creates the rollouts of a router for scenarios that are not about them. */
export function createTestRollouts(timer: TimerService): Rollouts {
  return Rollouts.create({
    timer,
    random: () => 0.5,
    unprovedShare: 0.1,
    isInTouch: () => true,
    onEnded: () => {},
    onStoppedChanged: () => {},
  });
}
