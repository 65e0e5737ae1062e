import type { OrderPieces } from '@galenatiller/pool';
import type { BatchLimits, RegisteredTarget, RouteConfig } from '@galenatiller/types';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

/** Workers of a service. */
export interface SimulatedService {
  readonly name: string;
  readonly workers: number;
  readonly limits: BatchLimits;
}

/** Calls of one route. */
export interface SimulatedClass {
  readonly name: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly stages: RouteConfig['stages'];
  /** Mean number of pieces of each stage. */
  readonly pieces: readonly number[];
}

/** Options of {@link RoomSimulation.create}. */
export interface RoomSimulationOptions {
  readonly services: readonly SimulatedService[];
  readonly classes: readonly SimulatedClass[];
  readonly seed: number;
  readonly sizeSpread?: number;
  /** Whether stages start although their call can't be served, or its results would expire. */
  readonly holdsNothing?: boolean;
  /** Whether queues keep the pieces of calls that can't be served before their callers leave. */
  readonly givesUpNothing?: boolean;
  /** Unset for the order of the program. */
  readonly order?: OrderPieces;
  /** Whether each stage starts as soon as its dependencies are done. */
  readonly startsAtOnce?: boolean;
  /** Whether inputs are freed only when the pieces that used them are done. */
  readonly freesWhenDone?: boolean;
}

/**
 * How a call ended. `refused`: for good, before any work for it began; `failed`: after that, with an answer;
 * `expired`: its caller left without one.
 */
export type CallEnd = 'onTime' | 'late' | 'failed' | 'refused' | 'expired';

/** How the calls of a class ended that began in a span of time. */
export type ClassCounts = Record<CallEnd | 'calls', number>;

/** Counts of no calls. */
export function createCounts(): ClassCounts {
  return { calls: 0, onTime: 0, late: 0, failed: 0, refused: 0, expired: 0 };
}

/** Number of pieces with a mean; 1 stays 1, others vary by half of it. */
export function drawPieces(mean: number, random: () => number): number {
  return mean === 1 ? 1 : Math.max(1, Math.round(mean * (0.5 + random())));
}

/** Creates a source of uniformly distributed numbers from 0 to 1. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, 999_999) / 1_000_000;
}

/** Creates a stage worker as it is registered in the store. */
export function createTarget(service: string, index: number): RegisteredTarget {
  return {
    id: `${service}-${index}`,
    startedWallMs: 1,
    service,
    address: `${service}:${index}`,
    availabilityZone: 'east',
    version: 'v1',
    slots: 1,
    state: 'ready',
  };
}
