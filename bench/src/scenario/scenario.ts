/** A scenario: a load, and orders that bring faults about while it runs. */
import type { FaultOrder } from '@galenatiller/fakes';

import type { FakeSpeed } from '../launcher/fakePlan.js';
import type { StoreFaults } from '../launcher/startDeployment.js';

/** Something that is done to a deployment. */
export type ScenarioAction =
  | { readonly kind: 'fault'; readonly targetName: string; readonly fault: FaultOrder }
  | { readonly kind: 'zone'; readonly availabilityZone: string; readonly state: 'in' | 'out' }
  | { readonly kind: 'kill-gate'; readonly gateName: string }
  | { readonly kind: 'restart-gate'; readonly gateName: string }
  | { readonly kind: 'store'; readonly faults: StoreFaults }
  | {
      readonly kind: 'move';
      readonly targetGroup: string;
      readonly toVersion: string;
      /** Engines that are ordered to load the new version first. */
      readonly targetNames: readonly string[];
    };

/** An order and when it is given, as a share of the time of the load. */
export interface ScheduledAction {
  readonly atShare: number;
  readonly action: ScenarioAction;
}

/** A load and the orders during it. */
export interface Scenario {
  readonly ratePerSecond: (elapsedMs: number) => number;
  readonly actions: readonly ScheduledAction[];
  readonly speed: Partial<FakeSpeed>;
  /** Share of prompts that begin with the poison marker. */
  readonly poisonShare: number;
  /** Organisation that sends far more than its share; empty for none. */
  readonly floodOrganisation: string;
}
