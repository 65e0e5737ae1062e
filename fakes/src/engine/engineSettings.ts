import type { FakeTargetOptions } from '../createFakeTarget.js';
import type { BatchSpeed } from './batch.js';

/** Settings of a fake engine. */
export interface FakeEngineSettings extends FakeTargetOptions {
  readonly speed: BatchSpeed;
  /** Maximum number of requests that wait for the batch; others are refused as overloaded. */
  readonly queueLimit: number;
  /** Size of the prefix cache in blocks. */
  readonly cacheBlocks: number;
  /** Time to compute a block of a prompt that is not in the cache. */
  readonly prefillMsPerBlock: number;
  readonly cacheEventLagMs: number;
  /** Share of cache events that are never sent. */
  readonly cacheEventLossShare: number;
  /** Interval at which the load that `GET /load` reports is sampled. */
  readonly loadLagMs: number;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing: boolean;
  /** A prompt that contains this text crashes the engine; empty for none. */
  readonly poisonMarker: string;
}

/** Settings of an engine that is always warm and has no faults. */
export const DEFAULT_ENGINE_SETTINGS = {
  queueLimit: 1_000,
  cacheBlocks: 4_096,
  prefillMsPerBlock: 0,
  cacheEventLagMs: 0,
  cacheEventLossShare: 0,
  loadLagMs: 200,
  checksFencing: true,
  poisonMarker: '',
} as const satisfies Partial<FakeEngineSettings>;
