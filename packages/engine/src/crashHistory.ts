import { CrashSuspects } from '@galenatiller/target';
import type { RecordOptions } from '@galenatiller/timeline';
import type { TimerService } from '@galenatiller/timer';
import type { CrashEvidence, SharedItems, StageRequest } from '@galenatiller/types';

import { computeFingerprint } from './computeFingerprint.js';
import { computePrefixFingerprints } from './computePrefixFingerprints.js';
import { type CrashRecord, CrashRegistry } from './crashRegistry.js';

/** Options of {@link CrashHistory.create}. */
export interface CrashHistoryOptions {
  readonly timer: TimerService;
  /** Sends evidence on prompts to other nodes. */
  readonly share: (evidence: readonly CrashEvidence[]) => void;
  /** Records a timeline event. */
  readonly record: (event: RecordOptions) => void;
}

/** What nodes tell each other of crashes. */
export interface SharedCrashes {
  readonly crashes: SharedItems<CrashRecord>;
  readonly evidence: SharedItems<CrashEvidence>;
}

/** The stage requests that crashed targets, by their whole content and by how their prompt begins. */
export class CrashHistory {
  private constructor(
    readonly contents: CrashRegistry,
    readonly prefixes: CrashSuspects,
  ) {}

  /** Creates a history without crashes. */
  static create({ timer, share, record }: CrashHistoryOptions): CrashHistory {
    const onStopped = (opts: { readonly fingerprint: string; readonly crashes: number }): void =>
      record({
        kind: 'fingerprint-stopped',
        subject: opts.fingerprint,
        detail: `${opts.crashes} targets crashed`,
      });
    return new CrashHistory(
      CrashRegistry.create({ timer }),
      CrashSuspects.create({ timer, share, onStopped }),
    );
  }

  /** Whether a request must not run. */
  isStopped(request: StageRequest): boolean {
    return (
      this.contents.findStatus(computeFingerprint(request)) === 'stopped' ||
      this.prefixes.findStopped(computePrefixFingerprints(request)) !== undefined
    );
  }

  /** The crashes as other nodes get them. */
  shared(): SharedCrashes {
    const { contents, prefixes } = this;
    return {
      crashes: { all: () => contents.records, merge: (records) => contents.merge(records) },
      evidence: { all: () => prefixes.currentCrashes(), merge: (items) => prefixes.merge(items) },
    };
  }
}
