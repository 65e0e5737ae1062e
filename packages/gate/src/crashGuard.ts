import { type CrashRegistry, computeFingerprint } from '@galenatiller/engine';
import type { NodeGossip } from '@galenatiller/node';
import type { StageRequest } from '@galenatiller/types';

/** Options of {@link CrashGuard.create}. */
export interface CrashGuardOptions {
  readonly registry: CrashRegistry;
  /** Tells other nodes of new records. */
  readonly news: Pick<NodeGossip, 'shareCrashes'>;
}

/** Whether an order may run on a target. */
export type CrashDecision = 'run' | 'stopped' | 'wait-for-suspect';

/** Stops contents that crash the targets that run them. */
export class CrashGuard {
  /** Targets that run an order whose content was on another target when that crashed. */
  private readonly suspects = new Map<string, string>();

  private constructor(private readonly opts: CrashGuardOptions) {}

  /** Makes a guard over a ledger. */
  static create(opts: CrashGuardOptions): CrashGuard {
    return new CrashGuard(opts);
  }

  /** Decides whether an order may run; one that may must be followed by `ended`. */
  admit(order: StageRequest): CrashDecision {
    const content = computeFingerprint(order);
    const verdict = this.opts.registry.findStatus(content);
    if (verdict === 'stopped') {
      return 'stopped';
    }
    if (verdict === 'suspect') {
      // With one suspect at a time, a second crash tells which one is to blame.
      if (this.suspects.has(order.targetName)) {
        return 'wait-for-suspect';
      }
      this.suspects.set(order.targetName, content);
    }
    return 'run';
  }

  /** Tells that a run has ended, and whether the target crashed under it. */
  onRunEnded(order: StageRequest, crashed: boolean): void {
    const content = computeFingerprint(order);
    const suspect = this.suspects.get(order.targetName);
    if (suspect === content) {
      this.suspects.delete(order.targetName);
    }
    if (!crashed || (suspect !== undefined && suspect !== content)) {
      return;
    }
    this.opts.news.shareCrashes([
      this.opts.registry.record({ fingerprint: content, targetName: order.targetName }),
    ]);
  }
}
