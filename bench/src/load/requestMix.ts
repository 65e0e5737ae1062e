/** The requests that each deployment's callers send. */
import type { DeploymentName } from '../launcher/deployment.js';

/** A route in the load, drawn by its weight. */
export interface RouteShare {
  readonly route: string;
  readonly weight: number;
  /** Share of the requests that ask for a stream. */
  readonly streamShare: number;
}

/** Request mix of each deployment. */
export const REQUEST_MIXES: Readonly<Record<DeploymentName, readonly RouteShare[]>> = {
  lautoka: [
    { route: 'job-dossier', weight: 20, streamShare: 1 },
    { route: 'quick-question', weight: 30, streamShare: 0.5 },
    { route: 'lap-schedule', weight: 8, streamShare: 0 },
    { route: 'flatness-lookup', weight: 22, streamShare: 0 },
    { route: 'batch-release', weight: 8, streamShare: 0 },
    { route: 'shipment', weight: 6, streamShare: 0 },
    { route: 'cerium-reorder', weight: 6, streamShare: 0 },
  ],
  rekvisitlanet: [
    { route: 'contract-draft', weight: 10, streamShare: 0 },
    { route: 'condition-question', weight: 20, streamShare: 0.5 },
    { route: 'packing-list', weight: 15, streamShare: 1 },
    { route: 'availability-lookup', weight: 25, streamShare: 0 },
    { route: 'reservation', weight: 12, streamShare: 0 },
    { route: 'return', weight: 8, streamShare: 0 },
    { route: 'member-lookup', weight: 4, streamShare: 0 },
    { route: 'transport-booking', weight: 4, streamShare: 0 },
    { route: 'repair-order', weight: 2, streamShare: 0 },
  ],
};
