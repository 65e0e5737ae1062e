import type { ConcurrencyLimit } from '@galenatiller/engine';
import type { GalenatillerError } from '@galenatiller/error';
import type { StageRequest, StagePart, StageResult, TargetKind } from '@galenatiller/types';
import type { TargetSettings } from '@galenatiller/settings';
import type { TimerService } from '@galenatiller/timer';
import type { Result } from 'true-myth';

import type { LoadLimit, LoadLimitOptions } from './loadLimit.js';
import type { QueuePolicy } from './queuePolicy.js';

/** Options of {@link RunOnTarget}. */
export interface RunOnTargetOptions {
  readonly url: string;
  readonly order: StageRequest;
  /** Aborts the run at the target. */
  readonly signal: AbortSignal;
  /** Takes streamed text; only engines stream. */
  readonly onPart: (part: StagePart) => void;
  /** Told the identity of the target's process, which changes when the target restarts. */
  readonly onStartId: (startId: string) => void;
}

/** Runs a stage on a target of one kind. */
export type RunOnTarget = (
  opts: RunOnTargetOptions,
) => Promise<Result<StageResult, GalenatillerError>>;

/** How to run a stage on each kind of target. */
export type TargetRunners = Readonly<Record<TargetKind, RunOnTarget>>;

/** Options of {@link ProbeTarget}. */
export interface ProbeTargetOptions {
  readonly url: string;
  /** Identity that the target told last; empty when it has told none. */
  readonly knownStartId: string;
  readonly signal: AbortSignal;
}

/** Finds out after a broken run whether the target's process has ended. */
export type ProbeTarget = (opts: ProbeTargetOptions) => Promise<'alive' | 'crashed'>;

/** Options of {@link GatePolicy.createConcurrencyLimit}. */
export interface CreateConcurrencyLimitOptions {
  readonly settings: TargetSettings;
  readonly timer: TimerService;
}

/** The decisions of a gate, passed in as functions. */
export interface GatePolicy {
  readonly queue: QueuePolicy;
  /** Decides how many runs a target bears at once. */
  readonly createConcurrencyLimit: (opts: CreateConcurrencyLimitOptions) => ConcurrencyLimit;
  /** Decides how many runs at once let runs end within their deadlines. */
  readonly createLoadLimit: (opts: LoadLimitOptions) => LoadLimit;
}

/** Options of {@link WatchTarget}. */
export interface WatchTargetOptions {
  readonly settings: TargetSettings;
  /** Told the identity of the target's process at each look. */
  readonly onStartId: (startId: string) => void;
  readonly signal: AbortSignal;
}

/** The task that looks at one target until the signal aborts. */
export type WatchTarget = (opts: WatchTargetOptions) => Promise<void>;
