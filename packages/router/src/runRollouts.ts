import type { ReadFailure, WriteIfUnchanged } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import type { RolloutDecision } from '@galenatiller/types';
import type { Result } from 'true-myth';

import type { RolloutStatusEntries } from './entryDecoders.js';
import type { PeerRouters } from './peerRouters.js';
import type { Rollouts } from './rollouts.js';
import type { RolloutStatuses } from './rolloutStatuses.js';
import type { ServiceOwners } from './ownership/index.js';

/** Options of {@link runRollouts}. */
export interface RunRolloutsOptions {
  readonly timer: TimerService;
  readonly rollouts: Rollouts;
  /** The states that are in the store. */
  readonly statuses: RolloutStatuses;
  readonly entries: RolloutStatusEntries;
  readonly owners: Pick<ServiceOwners, 'isOwner' | 'findOwner'>;
  readonly peers: Pick<PeerRouters, 'find' | 'all'>;
  readonly writeIfUnchanged: WriteIfUnchanged;
  readonly onWritten: (
    decision: RolloutDecision,
    result: Result<'written' | 'changed', ReadFailure>,
  ) => void;
  readonly signal: AbortSignal;
}

/** Short against the time in which a bad version has to be stopped. */
const INTERVAL_MS = 250;

const WRITE_TIMEOUT_MS = 700;

/** The task that collects evidence on rollouts, decides on those of this node and writes their states. */
export async function runRollouts(opts: RunRolloutsOptions): Promise<void> {
  const { timer, rollouts, statuses, owners, peers, signal } = opts;
  while (!signal.aborted) {
    await timer.sleep({ delayMs: INTERVAL_MS, signal });
    rollouts.takeEvidence().forEach((evidence) => {
      const owner = peers.find(owners.findOwner(evidence.service));
      const isSent = owner?.sendRolloutEvidence([evidence]) ?? false;
      if (!isSent) {
        rollouts.addEvidence(evidence);
      }
    });
    const decisions = rollouts.decide((service) => owners.isOwner(service));
    for (const decision of decisions.filter((changed) => !statuses.isStored(changed))) {
      if (decision.state === 'rolled-back') {
        peers.all().forEach((peer) => peer.shareRolloutDecision(decision));
      }
      await write(opts, decision);
    }
  }
}

async function write(opts: RunRolloutsOptions, decision: RolloutDecision): Promise<void> {
  const limit = opts.timer.startTimeLimit({ limitMs: WRITE_TIMEOUT_MS, parent: opts.signal });
  const result = await opts.writeIfUnchanged({
    ...opts.entries.encode(decision),
    expectedRevision: opts.statuses.revision(decision.service),
    signal: limit.signal,
  });
  limit.release();
  opts.onWritten(decision, result);
}
