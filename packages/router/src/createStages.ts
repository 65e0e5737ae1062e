import type { EventLog } from '@galenatiller/logger';
import type { MetricSink } from '@galenatiller/metrics';
import { ResultMemory } from '@galenatiller/pool';
import type { PeerService } from '@galenatiller/routerLink';
import type { RouterSettings } from '@galenatiller/settings';
import type { Member } from '@galenatiller/store';
import {
  type CrashSuspects,
  type TargetDirectory,
  type TargetNotices,
  toTargetStart,
} from '@galenatiller/target';
import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type {
  CrashEvidence,
  LeavingEvidence,
  RolloutDecision,
  RolloutEvidence,
} from '@galenatiller/types';

import { logAbandonedStage, logLinkEvent, logStageCall } from './logEvents.js';
import { PeerRouters } from './peerRouters.js';
import type { TargetClient } from './ports.js';
import { recordBatchMetrics } from './recordMetrics.js';
import type { Rollouts } from './rollouts.js';
import type { RouteTable } from './routeTable.js';
import { ServiceOwners } from './serviceOwners.js';
import { StageSubmitter, type SubmitPieceLocally } from './stageSubmitter.js';
import { StageWorkers } from './stageWorkers.js';

/** Options of {@link createStages}. */
export interface CreateStagesOptions {
  readonly settings: Pick<RouterSettings, 'nodeName'>;
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics: MetricSink;
  readonly targetClient: TargetClient;
  readonly hash: (text: string) => number;
  readonly routes: RouteTable;
  readonly targets: TargetDirectory;
  readonly notices: TargetNotices;
  readonly nodeCount: () => number;
  readonly tasks: TaskGroup;
  readonly crashSuspects: CrashSuspects;
  readonly rollouts: Rollouts;
}

/** What runs stages: on this node, or through the routers that own their services. */
export interface Stages {
  readonly workers: StageWorkers;
  readonly owners: ServiceOwners;
  readonly peers: PeerRouters;
  readonly submitter: StageSubmitter;
  readonly peerService: PeerService;
  /** Follows the targets that are registered now. */
  readonly onTargetsChanged: () => void;
  /** Sets the live routers. */
  readonly setMembers: (members: readonly Member[]) => void;
}

/** Creates the queues and tasks of the stage workers, and the links to the owners of services. */
export function createStages(opts: CreateStagesOptions): Stages {
  const { timer, log, nodeCount } = opts;
  const { nodeName: selfName } = opts.settings;
  const owners = ServiceOwners.create({ ...opts, selfName });
  const peers = PeerRouters.create({
    ...opts,
    selfName,
    onLinkEvent: (event) => logLinkEvent(log, event),
    onOpened: (peer) => {
      peer.shareCrashEvidence(opts.crashSuspects.currentCrashes());
      peer.shareLeavingEvidence(opts.notices.currentLeaving());
    },
  });
  const resultMemory = ResultMemory.create({
    timer,
    freeResults: (freed) => freeResults(opts, freed),
    pausedMs: (address) => opts.notices.pausedAtAddressMs(address),
    onMemoryFreed: () => workers.notifyMemoryFreed(),
  });
  const workers = StageWorkers.create({
    ...opts,
    isExcluded: (target) => opts.rollouts.isUnproved(target),
    resultMemory,
    memoryShare: (service) => (owners.isOwner(service) ? 1 : 1 / nodeCount()),
    runPieces: opts.targetClient.runPieces,
    onBatch: (event) => {
      logStageCall(log, event);
      recordBatchMetrics(opts.metrics, event);
    },
    onStageAbandoned: (event) => logAbandonedStage(log, event),
  });
  const submitLocally: SubmitPieceLocally = (submitted) => workers.submit(submitted);
  const submitter = StageSubmitter.create({ owners, peers, submitLocally, resultMemory });
  const peerService = {
    runPiece: submitter.submitForPeer,
    free: (handles: readonly string[]) => submitter.free(handles),
    mergeCrashEvidence: (evidence: readonly CrashEvidence[]) => opts.crashSuspects.merge(evidence),
    mergeLeavingEvidence: (evidence: readonly LeavingEvidence[]) =>
      opts.notices.mergeLeaving(evidence),
    addRolloutEvidence: (evidence: readonly RolloutEvidence[]) =>
      evidence.forEach((item) => opts.rollouts.addEvidence(item)),
    endRollout: (decision: RolloutDecision) => opts.rollouts.end(decision),
  };
  const setMembers = (members: readonly Member[]): void => {
    owners.setMembers(members);
    peers.setMembers(members);
    // The owner of a service fills whole batches; two routers that share its workers find them full.
    workers.handBack((service) => peers.find(owners.findOwner(service))?.isOpen ?? false);
  };
  const onTargetsChanged = (): void => {
    opts.notices.onRegistered(opts.targets.all().map(toTargetStart));
    workers.refresh();
  };
  return { workers, owners, peers, submitter, peerService, onTargetsChanged, setMembers };
}

async function freeResults(
  { targets, notices, targetClient }: CreateStagesOptions,
  freed: { readonly address: string; readonly handles: readonly string[] },
): Promise<void> {
  // Another target may have the address by the time of the answer.
  const target = targets.all().find(({ address }) => address === freed.address);
  const notice = await targetClient.freeResults({ ...freed, targetId: target?.id ?? '' });
  if (target) {
    notices.record({ target: toTargetStart(target), notice, source: 'free' });
  }
}
