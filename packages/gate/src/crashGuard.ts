import { type CrashRegistry, computeFingerprint } from '@galenatiller/engine';
import type { NodeGossip } from '@galenatiller/node';
import type { StageRequest } from '@galenatiller/types';

/** Options of {@link CrashGuard.create}. */
export interface CrashGuardOptions {
  readonly registry: CrashRegistry;
  /** Notifies other nodes of new crash records. */
  readonly gossip: Pick<NodeGossip, 'shareCrashes'>;
}

/** Whether a stage request may run on a target. */
export type CrashDecision = 'run' | 'stopped' | 'wait-for-suspect';

/** Stops requests whose content crashes the targets that run them. */
export class CrashGuard {
  /** Suspect content that runs on each target: it was running on another target that crashed. */
  private readonly runningSuspects = new Map<string, string>();

  private constructor(private readonly opts: CrashGuardOptions) {}

  /** Creates a guard over a crash registry. */
  static create(opts: CrashGuardOptions): CrashGuard {
    return new CrashGuard(opts);
  }

  /** Decides whether a request may run. After `run`, `onRunEnded` must be called. */
  admit(request: StageRequest): CrashDecision {
    const content = computeFingerprint(request);
    const status = this.opts.registry.findStatus(content);
    if (status === 'stopped') {
      return 'stopped';
    }
    if (status === 'suspect') {
      // With only one suspect per target at a time, a second crash identifies the cause.
      if (this.runningSuspects.has(request.targetName)) {
        return 'wait-for-suspect';
      }
      this.runningSuspects.set(request.targetName, content);
    }
    return 'run';
  }

  /** Records that a run ended and whether the target crashed during it. */
  onRunEnded(request: StageRequest, crashed: boolean): void {
    const content = computeFingerprint(request);
    const suspect = this.runningSuspects.get(request.targetName);
    if (suspect === content) {
      this.runningSuspects.delete(request.targetName);
    }
    if (!crashed || (suspect !== undefined && suspect !== content)) {
      return;
    }
    this.opts.gossip.shareCrashes([
      this.opts.registry.record({ fingerprint: content, targetName: request.targetName }),
    ]);
  }
}
