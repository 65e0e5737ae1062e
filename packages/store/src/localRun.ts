import type { StageEnd } from '@galenatiller/types';

import type { ClaimResult, RunRequest } from './runRecordTypes.js';

/** Options of {@link LocalRun.create}. */
export interface LocalRunOptions extends Pick<RunRequest, 'bodyDigest' | 'requestId'> {
  /** Unique to the claim. */
  readonly claimId: string;
}

/** The claim as it is stored. */
export interface MarkClaimedOptions {
  readonly modRevision: number;
  /** Claim id of an earlier claim of this node, if that claim is taken over. */
  readonly claimId?: string;
}

/** A run on this node, from its claim on; repeated requests with the same key wait for its end. */
export class LocalRun {
  readonly bodyDigest: string;

  readonly requestId: string;

  claimId: string;

  /** Modification revision of the record in the store. */
  modRevision = 0;

  /** A result that could not be written and has to be written again. */
  private unwrittenResult: StageEnd | undefined;

  private readonly result: Promise<ClaimResult | undefined>;

  private readonly settle: (claim: ClaimResult | undefined) => void;

  private constructor(opts: LocalRunOptions) {
    this.bodyDigest = opts.bodyDigest;
    this.requestId = opts.requestId;
    this.claimId = opts.claimId;
    let settle: (claim: ClaimResult | undefined) => void = () => {};
    this.result = new Promise((resolve) => {
      settle = resolve;
    });
    this.settle = settle;
  }

  /** Creates a run that is about to be claimed. */
  static create(opts: LocalRunOptions): LocalRun {
    return new LocalRun(opts);
  }

  /** Records that the claim is in the store. */
  markClaimed(opts: MarkClaimedOptions): void {
    this.modRevision = opts.modRevision;
    this.claimId = opts.claimId ?? this.claimId;
  }

  /** Ends the run and gives the claim result to the requests that wait for it. */
  end(claim: ClaimResult): void {
    this.settle(claim);
  }

  /** Keeps a result that could not be written. */
  keepUnwrittenResult(end: StageEnd): void {
    this.unwrittenResult = end;
  }

  /** Returns and clears the result that could not be written. */
  takeUnwrittenResult(): StageEnd | undefined {
    const { unwrittenResult } = this;
    this.unwrittenResult = undefined;
    return unwrittenResult;
  }

  /** Ends a run that never started; the requests that wait for it claim it again. */
  cancel(): void {
    this.settle(undefined);
  }

  /** Waits for the end of the run; undefined if it never started, `may-have-run` after an abort. */
  wait(signal?: AbortSignal): Promise<ClaimResult | undefined> {
    if (!signal) {
      return this.result;
    }
    return new Promise((resolve) => {
      const onAbort = (): void => {
        resolve({ kind: 'may-have-run' });
      };
      signal.addEventListener('abort', onAbort, { once: true });
      if (signal.aborted) {
        onAbort();
      }
      this.result
        .then(resolve)
        .finally(() => {
          signal.removeEventListener('abort', onAbort);
        })
        .catch(onAbort);
    });
  }
}
