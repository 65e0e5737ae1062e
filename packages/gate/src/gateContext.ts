import type { Shutdown } from '@galenatiller/node';
import type { TaskGroup } from '@galenatiller/tasks';
import type { RecordOptions } from '@galenatiller/timeline';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, StageRequest, StagePart } from '@galenatiller/types';

import type { CrashGuard } from './crashGuard.js';
import type { ProbeTarget, TargetRunners } from './policy.js';
import type { RunRecordRepository } from './runRecordRepository.js';
import type { StoppedVersions } from './stoppedVersions.js';
import type { TargetAdmission } from './targetAdmission.js';

/** State and dependencies shared by all stage requests at a gate. */
export interface GateContext {
  readonly targets: ReadonlyMap<string, TargetAdmission>;
  readonly runners: TargetRunners;
  readonly probeTarget: ProbeTarget;
  readonly runRecords: RunRecordRepository;
  readonly crashGuard: CrashGuard;
  readonly stoppedVersions: StoppedVersions;
  /** Tasks that a graceful shutdown waits for. */
  readonly tasks: TaskGroup;
  readonly timer: TimerService;
  readonly record: (event: RecordOptions) => void;
  readonly availabilityZone: string;
  readonly readConfiguration: () => Configuration;
  readonly shutdown: Shutdown;
}

/** Options of {@link runStageRequest}. */
export interface RunStageRequestOptions {
  readonly context: GateContext;
  readonly request: StageRequest;
  /** Aborts when the entry cancels the attempt or its link closes. */
  readonly signal: AbortSignal;
  readonly onPart: (part: StagePart) => void;
}
