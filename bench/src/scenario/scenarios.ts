/** The scenarios by name: a load and a list of actions for each. */
import type { Deployment } from '../launcher/deployment.js';
import type { ScenarioAction, Scenario, ScheduledAction } from './scenario.js';

/** Names of the scenarios that send the mixed load. */
export const SCENARIO_NAMES = [
  'steady',
  'overload',
  'burst',
  'flood',
  'cold',
  'zone',
  'badversion',
  'poison',
  'gatecrash',
  'storeoutage',
  'slowstage',
] as const;

/** Name of a scenario that sends the mixed load. */
export type ScenarioName = (typeof SCENARIO_NAMES)[number];

/** Text that crashes an engine in the scenario `poison`. */
const POISON_MARKER = '[poison] ';

/** Arrivals per second that either deployment handles without overload. */
const STEADY_REQUESTS_PER_SECOND = 30;

const STEADY: Scenario = {
  ratePerSecond: () => STEADY_REQUESTS_PER_SECOND,
  actions: [],
  speed: {},
  poisonShare: 0,
  floodOrganisation: '',
};

const NEW_VERSION = 'v2';
const NEW_VERSION_ENGINES = ['drafter-1', 'drafter-2'];

/** Input for creating a scenario. */
interface ScenarioContext {
  readonly deployment: Deployment;
  /** Duration of the load. */
  readonly durationMs: number;
}

const SCENARIOS: Readonly<Record<ScenarioName, (context: ScenarioContext) => Scenario>> = {
  steady: () => STEADY,
  overload: () => ({ ...STEADY, ratePerSecond: () => 4 * STEADY_REQUESTS_PER_SECOND }),
  burst: ({ durationMs }) => ({
    ...STEADY,
    ratePerSecond: (elapsedMs) =>
      isBetween(elapsedMs / durationMs, 0.4, 0.55)
        ? 4 * STEADY_REQUESTS_PER_SECOND
        : STEADY_REQUESTS_PER_SECOND,
  }),
  flood: ({ deployment }) => ({
    ...STEADY,
    ratePerSecond: () => 3 * STEADY_REQUESTS_PER_SECOND,
    floodOrganisation: deployment.floodOrganisation,
  }),
  cold: () => ({
    ...STEADY,
    ratePerSecond: () => 1.5 * STEADY_REQUESTS_PER_SECOND,
    actions: createColdActions(),
  }),
  zone: ({ deployment }) => ({
    ...STEADY,
    actions: createZoneActions(deployment.availabilityZones[0] ?? ''),
  }),
  badversion: () => ({ ...STEADY, actions: createBadVersionActions() }),
  poison: () => ({ ...STEADY, poisonShare: 0.02, speed: { poisonMarker: POISON_MARKER } }),
  gatecrash: () => ({ ...STEADY, actions: createGateCrashActions() }),
  storeoutage: () => ({ ...STEADY, actions: createStoreOutageActions() }),
  slowstage: () => ({ ...STEADY, actions: createSlowStageActions() }),
};

/** Creates a scenario for a deployment. */
export function createScenario(name: ScenarioName, context: ScenarioContext): Scenario {
  return SCENARIOS[name](context);
}

function isBetween(value: number, from: number, to: number): boolean {
  return value >= from && value < to;
}

function scheduleAt(atShare: number, action: ScenarioAction): ScheduledAction {
  return { atShare, action };
}

function createColdActions(): readonly ScheduledAction[] {
  const turnCold = (targetName: string): ScenarioAction => ({
    kind: 'fault',
    targetName,
    fault: { kind: 'cold' },
  });
  return [
    scheduleAt(0.2, turnCold('drafter-1')),
    scheduleAt(0.35, turnCold('drafter-2')),
    scheduleAt(0.35, turnCold('drafter-3')),
    scheduleAt(0.5, { kind: 'fault', targetName: 'drafter-4', fault: { kind: 'crash' } }),
    scheduleAt(0.7, turnCold('drafter-1')),
  ];
}

function createZoneActions(availabilityZone: string): readonly ScheduledAction[] {
  return [
    scheduleAt(0.3, { kind: 'zone', availabilityZone, state: 'out' }),
    scheduleAt(0.7, { kind: 'zone', availabilityZone, state: 'in' }),
  ];
}

function createBadVersionActions(): readonly ScheduledAction[] {
  const faults = { version: NEW_VERSION, errorShare: 0.5, slowFactor: 1 };
  const quality = { ...faults, afterRuns: 0, aboveLoad: 0, route: '' };
  return [
    ...NEW_VERSION_ENGINES.map((targetName) =>
      scheduleAt(0.1, { kind: 'fault', targetName, fault: { kind: 'version', quality } }),
    ),
    scheduleAt(0.15, {
      kind: 'move',
      targetGroup: 'drafter',
      toVersion: NEW_VERSION,
      targetNames: NEW_VERSION_ENGINES,
    }),
  ];
}

function createGateCrashActions(): readonly ScheduledAction[] {
  return [
    scheduleAt(0.3, { kind: 'kill-gate', gateName: 'target-host-1' }),
    scheduleAt(0.45, { kind: 'kill-gate', gateName: 'target-host-2' }),
    scheduleAt(0.6, { kind: 'restart-gate', gateName: 'target-host-1' }),
    scheduleAt(0.7, { kind: 'restart-gate', gateName: 'target-host-2' }),
  ];
}

/** A gate is restarted during the outage, so it has to start without the store. */
function createStoreOutageActions(): readonly ScheduledAction[] {
  return [
    scheduleAt(0.2, { kind: 'store', faults: { outage: true } }),
    scheduleAt(0.3, { kind: 'kill-gate', gateName: 'target-host-1' }),
    scheduleAt(0.4, { kind: 'restart-gate', gateName: 'target-host-1' }),
    scheduleAt(0.7, { kind: 'store', faults: { outage: false } }),
  ];
}

function createSlowStageActions(): readonly ScheduledAction[] {
  const slowDown = (targetName: string, factor: number): ScenarioAction => ({
    kind: 'fault',
    targetName,
    fault: { kind: 'slow', factor },
  });
  return [
    scheduleAt(0.25, slowDown('encoder-1', 60)),
    scheduleAt(0.25, slowDown('drafter-3', 8)),
    scheduleAt(0.7, slowDown('encoder-1', 1)),
    scheduleAt(0.7, slowDown('drafter-3', 1)),
  ];
}
