import { type CrashLedger, fingerprint } from '@galenatiller/engine';
import type { FleetNews } from '@galenatiller/node';
import type { StageRequest } from '@galenatiller/types';

/** Options of {@link CrashGuard.create}. */
export interface CrashGuardOptions {
  readonly ledger: CrashLedger;
  /** Tells other nodes of new records. */
  readonly news: Pick<FleetNews, 'shareCrashes'>;
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
  started(order: StageRequest): CrashDecision {
    const content = fingerprint(order);
    const verdict = this.opts.ledger.verdict(content);
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
  ended(order: StageRequest, crashed: boolean): void {
    const content = fingerprint(order);
    const suspect = this.suspects.get(order.targetName);
    if (suspect === content) {
      this.suspects.delete(order.targetName);
    }
    if (!crashed || (suspect !== undefined && suspect !== content)) {
      return;
    }
    this.opts.news.shareCrashes([
      this.opts.ledger.record({ fingerprint: content, targetName: order.targetName }),
    ]);
  }
}
