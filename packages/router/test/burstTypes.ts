import type { OrderPieces } from '@galenatiller/pool';
import type { BatchLimits, RouteConfig } from '@galenatiller/types';

import { BASE_ROUTE } from './support.js';

/** A class of calls. */
export interface BurstClass {
  readonly name: string;
  readonly callsPerSecond: number;
  readonly route: RouteConfig;
  /** Mean number of pieces of each stage. */
  readonly meanPieces: readonly number[];
}

/** How a call ended. */
export interface BurstCall {
  readonly name: string;
  readonly organisation: string;
  readonly pieces: number;
  readonly arrivedAtMs: number;
  /** Pieces that workers have made for it. */
  made: number;
  end: 'waiting' | 'on-time' | 'late' | 'failed' | 'refused';
  endedAtMs: number;
}

/** Options of {@link BurstSimulation.create}. */
export interface BurstOptions {
  readonly classes: readonly BurstClass[];
  readonly services: ReadonlyMap<
    string,
    { readonly workers: number; readonly limits: BatchLimits }
  >;
  readonly order: OrderPieces;
  /** Whether calls are admitted although they can't be served with the present waits. */
  readonly refusesNothing: boolean;
  readonly responseMs: number;
  /** Organisation of the next call. */
  readonly chooseOrganisation: (random: () => number) => string;
  readonly seed: number;
}

/** The route of a class of calls. */
export function createBurstRoute(changes: Partial<RouteConfig>): RouteConfig {
  return { ...BASE_ROUTE, timeoutMs: 60_000, ...changes };
}
