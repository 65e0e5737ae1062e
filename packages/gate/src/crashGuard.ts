import {
  type CrashHistory,
  computeFingerprint,
  computePrefixFingerprints,
} from '@galenatiller/engine';
import type { NodeGossip } from '@galenatiller/node';
import type { StageRequest } from '@galenatiller/types';

/** Options of {@link CrashGuard.create}. */
export interface CrashGuardOptions {
  readonly crashes: CrashHistory;
  /** Notifies other nodes of new crash records. */
  readonly gossip: Pick<NodeGossip, 'shareCrashes'>;
}

/** Whether a stage request may run on a target. */
export type CrashDecision = 'run' | 'stopped' | 'wait-for-suspect';

/** A run that has ended. */
export interface GuardedRun {
  readonly request: StageRequest;
  /** The start of the target that ran it. */
  readonly targetStart: string;
  /** Whether the target responded, and the response was whole. */
  readonly isWhole: boolean;
  readonly hasCrashed: boolean;
}

/** Stops requests whose content, or the beginning of whose prompt, crashes the targets that run them. */
export class CrashGuard {
  /** Suspect content that runs on each target: it was running on another target that crashed. */
  private readonly runningSuspects = new Map<string, string>();

  private constructor(private readonly opts: CrashGuardOptions) {}

  /** Creates a guard over a history of crashes. */
  static create(opts: CrashGuardOptions): CrashGuard {
    return new CrashGuard(opts);
  }

  /** Decides whether a request may run. After `run`, `onRunEnded` must be called. */
  admit(request: StageRequest): CrashDecision {
    const content = computeFingerprint(request);
    const { crashes } = this.opts;
    if (crashes.isStopped(request)) {
      return 'stopped';
    }
    if (crashes.contents.findStatus(content) === 'suspect') {
      // With only one suspect per target at a time, a second crash identifies the cause.
      if (this.runningSuspects.has(request.targetName)) {
        return 'wait-for-suspect';
      }
      this.runningSuspects.set(request.targetName, content);
    }
    return 'run';
  }

  /** Records that a run ended and whether the target crashed during it. */
  onRunEnded({ request, targetStart, isWhole, hasCrashed }: GuardedRun): void {
    const { prefixes } = this.opts.crashes;
    if (hasCrashed) {
      const fingerprints = computePrefixFingerprints(request);
      prefixes.recordCrash({ targetStart, fingerprints });
    } else if (isWhole) {
      prefixes.recordSound(computePrefixFingerprints(request));
    }
    this.recordContent(request, hasCrashed);
  }

  private recordContent(request: StageRequest, crashed: boolean): void {
    const content = computeFingerprint(request);
    const suspect = this.runningSuspects.get(request.targetName);
    if (suspect === content) {
      this.runningSuspects.delete(request.targetName);
    }
    if (!crashed || (suspect !== undefined && suspect !== content)) {
      return;
    }
    this.opts.gossip.shareCrashes([
      this.opts.crashes.contents.record({ fingerprint: content, targetName: request.targetName }),
    ]);
  }
}
