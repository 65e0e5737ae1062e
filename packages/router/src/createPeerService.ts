import type { PeerService } from '@galenatiller/routerLink';
import type { PrefixRelay } from '@galenatiller/store';
import type { CrashSuspects, TargetNotices } from '@galenatiller/target';

import type { Permits } from './permits.js';
import type { ProviderDuties } from './createProviderDuties.js';
import type { OwnerCredit, StageSubmitter } from './ownership/index.js';
import type { Rollouts } from './rollouts.js';
import type { StageWorkers } from './stageWorkers.js';

/** Options of {@link createPeerService}. */
export interface PeerServiceOptions {
  readonly submitter: StageSubmitter;
  readonly workers: StageWorkers;
  readonly credit: OwnerCredit;
  readonly crashSuspects: CrashSuspects;
  readonly notices: TargetNotices;
  readonly rollouts: Rollouts;
  readonly relay: PrefixRelay;
  readonly permits: Permits;
  readonly provider: Pick<ProviderDuties, 'addUsage' | 'addLoad'>;
}

/** Creates the functions that this router runs for its peers. */
export function createPeerService(opts: PeerServiceOptions): PeerService {
  const { submitter, workers, credit, crashSuspects, notices, rollouts, relay, provider } = opts;
  return {
    runPiece: submitter.submitForPeer,
    waitMs: (shard) => workers.waitMs(shard),
    waits: (shard) => workers.waits(shard),
    maxPieces: (peers) => credit.perPeer(peers),
    free: (handles) => submitter.free(handles),
    mergeCrashEvidence: (evidence) => crashSuspects.merge(evidence),
    mergeLeavingEvidence: (evidence) => notices.mergeLeaving(evidence),
    addRolloutEvidence: (evidence) => evidence.forEach((item) => rollouts.addEvidence(item)),
    tryGrantPermit: (target) => opts.permits.tryGrant(target),
    endRollout: (decision) => rollouts.end(decision),
    addUsage: provider.addUsage,
    addLoad: provider.addLoad,
    readRelayed: (read) => relay.respond(read),
  };
}
