/** A scenario: a load, and actions that inject faults while it runs. */
import type { FaultCommand } from '@galenatiller/fakes';

import type { FakeSpeed } from '../launcher/fakePlan.js';
import type { StoreFaults } from '../launcher/startDeployment.js';

/** Something that a scenario does to a deployment. */
export type ScenarioAction =
  | { readonly kind: 'fault'; readonly targetName: string; readonly fault: FaultCommand }
  | { readonly kind: 'zone'; readonly availabilityZone: string; readonly state: 'in' | 'out' }
  | { readonly kind: 'kill-gate'; readonly gateName: string }
  | { readonly kind: 'restart-gate'; readonly gateName: string }
  | { readonly kind: 'store'; readonly faults: StoreFaults }
  | {
      readonly kind: 'move';
      readonly targetGroup: string;
      readonly toVersion: string;
      /** Engines that are ordered to load the new version before the move is published. */
      readonly targetNames: readonly string[];
    };

/** An action and its time, as a share of the duration of the load. */
export interface ScheduledAction {
  readonly atShare: number;
  readonly action: ScenarioAction;
}

/** A load and the actions during it. */
export interface Scenario {
  readonly ratePerSecond: (elapsedMs: number) => number;
  readonly actions: readonly ScheduledAction[];
  readonly speed: Partial<FakeSpeed>;
  /** Share of prompts that begin with the poison marker. */
  readonly poisonShare: number;
  /** Organisation that sends far more than its share; empty for none. */
  readonly floodOrganisation: string;
}
