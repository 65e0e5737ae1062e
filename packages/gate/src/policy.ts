import type { ConcurrencyLimit } from '@galenatiller/engine';
import type { GalenatillerError } from '@galenatiller/error';
import type {
  StageRequest,
  StagePart,
  StageResult,
  TargetKind,
  TargetNotice,
} from '@galenatiller/types';
import type { TargetSettings } from '@galenatiller/settings';
import type { TimerService } from '@galenatiller/timer';
import type { Result } from 'true-myth';

import type { LoadLimit, LoadLimitOptions } from './loadLimit.js';
import type { QueuePolicy } from './queuePolicy.js';

/** Receives what an answer says about its target, and the identity of the process that sent it. */
export type OnNotice = (notice: TargetNotice, startId: string) => void;

/** Options of {@link RunOnTarget}. */
export interface RunOnTargetOptions {
  readonly url: string;
  readonly order: StageRequest;
  /** Aborts the run at the target. */
  readonly signal: AbortSignal;
  /** Called with each part of streamed text; only engines stream. */
  readonly onPart: (part: StagePart) => void;
  /** Called with the identity of the target's process, which changes when it restarts. */
  readonly onStartId: (startId: string) => void;
  readonly onNotice: OnNotice;
}

/** Runs a stage on a target of one kind. */
export type RunOnTarget = (
  opts: RunOnTargetOptions,
) => Promise<Result<StageResult, GalenatillerError>>;

/** Function that runs a stage for each kind of target. */
export type TargetRunners = Readonly<Record<TargetKind, RunOnTarget>>;

/** Options of {@link ProbeTarget}. */
export interface ProbeTargetOptions {
  readonly url: string;
  /** Latest reported identity of the target's process; empty when none has been reported. */
  readonly knownStartId: string;
  readonly signal: AbortSignal;
  readonly onNotice: OnNotice;
}

/** Checks after a broken run whether the target's process has ended. */
export type ProbeTarget = (opts: ProbeTargetOptions) => Promise<'alive' | 'crashed' | 'unknown'>;

/** Options of {@link GatePolicy.createConcurrencyLimit}. */
export interface CreateConcurrencyLimitOptions {
  readonly settings: TargetSettings;
  readonly timer: TimerService;
}

/** Decision functions of a gate. */
export interface GatePolicy {
  readonly queue: QueuePolicy;
  /** Creates the limit of concurrent runs that a target can handle. */
  readonly createConcurrencyLimit: (opts: CreateConcurrencyLimitOptions) => ConcurrencyLimit;
  /** Creates the limit of concurrent runs that lets runs end within their deadlines. */
  readonly createLoadLimit: (opts: LoadLimitOptions) => LoadLimit;
}

/** Options of {@link WatchTarget}. */
export interface WatchTargetOptions {
  readonly settings: TargetSettings;
  /** Called with the identity of the target's process after each check. */
  readonly onStartId: (startId: string) => void;
  readonly onNotice: OnNotice;
  /** Whether the target may be sent a request now. */
  readonly mayPoll: () => boolean;
  readonly signal: AbortSignal;
}

/** Task that watches one target until the signal aborts. */
export type WatchTarget = (opts: WatchTargetOptions) => Promise<void>;
