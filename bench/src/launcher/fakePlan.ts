/** Plan of a process that runs fakes. */
import type { TargetPlan } from './deployment.js';

/** Speed of the fakes, and cold-start behaviour of the engines. */
export interface FakeSpeed {
  readonly baseMsPerToken: number;
  readonly slopeMsPerToken: number;
  /** Maximum number of requests that an engine batches or a worker serves concurrently. */
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

/** A fake target with its port. */
export interface FakeTargetPlan extends TargetPlan {
  readonly port: number;
}

/** Ports of the platform's fake services. */
export interface PlatformPlan {
  readonly storePort: number;
  readonly hostListPort: number;
  readonly metricsPort: number;
}

/** All fakes that one process runs. */
export interface FakePlan {
  readonly seed: number;
  readonly speed: FakeSpeed;
  readonly targets: readonly FakeTargetPlan[];
  readonly platforms: readonly PlatformPlan[];
}

/** Default speed; a scenario can override each value. */
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
