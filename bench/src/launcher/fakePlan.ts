/** What a process of fakes is told to start. */
import type { TargetPlan } from './deployment.js';

/** How fast the fakes are and what cold start does to an engine. */
export interface FakeSpeed {
  readonly baseMsPerToken: number;
  readonly slopeMsPerToken: number;
  /** Requests that an engine batches, and that a worker serves at once. */
  readonly capacity: number;
  readonly prefillMsPerBlock: number;
  readonly poolMs: number;
  readonly serviceMs: number;
  /** Time that a crashed target stays down. */
  readonly restartMs: number;
  readonly coldMs: number;
  readonly coldLimit: number;
  /** A prompt with this text crashes the engine that runs it; empty for none. */
  readonly poisonMarker: string;
  readonly hostListLagMs: number;
}

/** One fake target on a port. */
export interface FakeTargetPlan extends TargetPlan {
  readonly port: number;
}

/** The platform's systems on their ports. */
export interface PlatformPlan {
  readonly storePort: number;
  readonly hostListPort: number;
  readonly metricsPort: number;
}

/** Everything that one process of fakes starts. */
export interface FakePlan {
  readonly seed: number;
  readonly speed: FakeSpeed;
  readonly targets: readonly FakeTargetPlan[];
  readonly platforms: readonly PlatformPlan[];
}

/** Speeds of the fakes unless a scenario says otherwise. */
export const DEFAULT_SPEED: FakeSpeed = {
  baseMsPerToken: 5,
  slopeMsPerToken: 0.4,
  capacity: 16,
  prefillMsPerBlock: 0.5,
  poolMs: 5,
  serviceMs: 8,
  restartMs: 3_000,
  coldMs: 2_000,
  coldLimit: 4,
  poisonMarker: '',
  hostListLagMs: 500,
};
