import type { StageEnd } from '@galenatiller/types';

import type { ClaimResult, RunRequest } from './runRecordTypes.js';

/** Options of {@link LocalRun.create}. */
export interface LocalRunOptions extends Pick<RunRequest, 'bodyDigest' | 'requestId'> {
  /** Unique to the claim. */
  readonly claimId: string;
}

/** How the store holds a claim. */
export interface ClaimedOptions {
  readonly modRevision: number;
  /** Of an earlier claim of this node that is taken over. */
  readonly claimId?: string;
}

/** A run at this node, from its claim on; repeats of its key wait for it. */
export class LocalRun {
  readonly bodyDigest: string;

  readonly requestId: string;

  claimId: string;

  /** Revision of the record. */
  modRevision = 0;

  /** An answer whose write failed and that is to be written again. */
  private unwrittenResult: StageEnd | undefined;

  private readonly ended: Promise<ClaimResult | undefined>;

  private readonly settle: (claim: ClaimResult | undefined) => void;

  private constructor(opts: LocalRunOptions) {
    this.bodyDigest = opts.bodyDigest;
    this.requestId = opts.requestId;
    this.claimId = opts.claimId;
    let settle: (claim: ClaimResult | undefined) => void = () => {};
    this.ended = new Promise((resolve) => {
      settle = resolve;
    });
    this.settle = settle;
  }

  /** Makes a run that is about to be claimed. */
  static create(opts: LocalRunOptions): LocalRun {
    return new LocalRun(opts);
  }

  /** Notes that the store holds the claim. */
  markClaimed(opts: ClaimedOptions): void {
    this.modRevision = opts.modRevision;
    this.claimId = opts.claimId ?? this.claimId;
  }

  /** Ends the run for those who wait. */
  end(claim: ClaimResult): void {
    this.settle(claim);
  }

  /** Keeps an answer whose write failed. */
  keepUnwrittenResult(end: StageEnd): void {
    this.unwrittenResult = end;
  }

  /** Gives the kept answer once. */
  takeUnwrittenResult(): StageEnd | undefined {
    const { unwrittenResult } = this;
    this.unwrittenResult = undefined;
    return unwrittenResult;
  }

  /** Ends a run that never started; those who wait claim anew. */
  giveUp(): void {
    this.settle(undefined);
  }

  /** The end of the run; undefined when it never started. An abort gives `may-have-run`. */
  wait(signal?: AbortSignal): Promise<ClaimResult | undefined> {
    if (!signal) {
      return this.ended;
    }
    return new Promise((resolve) => {
      const onAbort = (): void => {
        resolve({ kind: 'may-have-run' });
      };
      signal.addEventListener('abort', onAbort, { once: true });
      if (signal.aborted) {
        onAbort();
      }
      this.ended
        .then(resolve)
        .finally(() => {
          signal.removeEventListener('abort', onAbort);
        })
        .catch(onAbort);
    });
  }
}
