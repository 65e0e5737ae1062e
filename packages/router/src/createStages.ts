import type { EventLog } from '@galenatiller/logger';
import type { MetricSink } from '@galenatiller/metrics';
import { ResultMemory } from '@galenatiller/pool';
import type { PeerService } from '@galenatiller/routerLink';
import type { RouterSettings } from '@galenatiller/settings';
import type { Member, PrefixRelay } from '@galenatiller/store';
import {
  type ColdRateLimiter,
  type CrashSuspects,
  getStartKey,
  type TargetDirectory,
  type TargetLoads,
  type TargetNotices,
  toTargetStart,
} from '@galenatiller/target';
import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type { BatchLimits, PriorityWait } from '@galenatiller/types';

import type { CrashDetector } from './crashDetector.js';
import type { ProviderDuties } from './createProviderDuties.js';
import { createPeerService } from './createPeerService.js';
import { logAbandonedStage, logLinkEvent, logStageCall } from './logEvents.js';
import {
  chooseShard,
  MAX_CANDIDATES,
  OwnerCredit,
  ServiceOwners,
  ServiceShards,
  type Shard,
  StageSubmitter,
} from './ownership/index.js';
import { PeerRouters } from './peerRouters.js';
import { createPieceSuspects } from './pieceSuspects.js';
import { Permits } from './permits.js';
import type { TargetClient } from './ports.js';
import { toPriorityTag } from './priorityTag.js';
import { recordBatchMetrics, recordUneven } from './recordMetrics.js';
import type { Rollouts } from './rollouts.js';
import type { RouteTable } from './routeTable.js';
import { ShardAssignment } from './shardAssignment.js';
import { StageWorkers } from './stageWorkers.js';

/** Options of {@link createStages}. */
export interface CreateStagesOptions {
  readonly settings: Pick<RouterSettings, 'availabilityZone' | 'nodeName'>;
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics: MetricSink;
  readonly targetClient: TargetClient;
  readonly hash: (text: string) => number;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
  readonly routes: RouteTable;
  readonly targets: TargetDirectory;
  readonly notices: TargetNotices;
  readonly loads: TargetLoads;
  readonly coldRateLimiter: ColdRateLimiter;
  readonly nodeCount: () => number;
  readonly tasks: TaskGroup;
  readonly crashSuspects: CrashSuspects;
  readonly crashDetector: CrashDetector;
  readonly rollouts: Rollouts;
  /** Passes what this node has read from the store on to other routers. */
  readonly relay: PrefixRelay;
  /** Time since the store last proved what this node knows. */
  readonly evidenceAgeMs: () => number;
  readonly provider: ProviderDuties;
}

/** What runs stages: on this node, or through the routers that own their services. */
export interface Stages {
  readonly workers: StageWorkers;
  readonly owners: ServiceOwners;
  readonly peers: PeerRouters;
  readonly submitter: StageSubmitter;
  /** Limits the pieces that this node accepts while it lacks CPU time. */
  readonly credit: OwnerCredit;
  readonly peerService: PeerService;
  /** Sends beyond the equal share of this node. */
  readonly permits: Permits;
  /** Waits for the workers of each shard of a service, as far as they are known. */
  readonly findWaits: (service: string) => readonly (readonly PriorityWait[])[];
  /** Follows the targets that are registered now. */
  readonly onTargetsChanged: () => void;
  /** Sets the live routers. */
  readonly setMembers: (members: readonly Member[]) => void;
}

/** Creates the queues and tasks of the stage workers, and the links to the owners of services. */
export function createStages(opts: CreateStagesOptions): Stages {
  const { timer, log, nodeCount } = opts;
  const { nodeName: selfName } = opts.settings;
  const findLimits = (service: string): BatchLimits | undefined =>
    opts.routes.findService(service)?.batch;
  const shards = ServiceShards.create({ ...opts, findLimits });
  const owners = ServiceOwners.create({ ...opts, selfName });
  const peers = PeerRouters.create({
    ...opts,
    selfName,
    onLinkEvent: (event) => logLinkEvent(log, event),
    onOpened: (peer) => {
      peer.shareCrashEvidence(opts.crashSuspects.currentCrashes());
      peer.shareLeavingEvidence(opts.notices.currentLeaving());
      opts.provider.onLinkOpened(peer.name);
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
    shards,
    countSenders: (shard) => countSenders({ owners, selfName, nodeCount, shard }),
    suspects: createPieceSuspects(opts),
    runPieces: opts.targetClient.runPieces,
    onBatch: (event) => {
      logStageCall(log, event);
      recordBatchMetrics(opts.metrics, event);
    },
    onStageAbandoned: (event) => recordAbandoned(opts, event),
    onDelayedTaken: ({ priority }) => recordDelayed(opts.metrics, priority),
    onUneven: (event) => recordUneven(opts.metrics, event),
  });
  const credit = OwnerCredit.create({ piecesInProgress: () => workers.piecesInProgress });
  const permits = createPermits(opts, { owners, peers });
  const parts = { shards, owners, peers, workers, credit, resultMemory, permits };
  const submitter = createSubmitter(opts, parts);
  const assignment = ShardAssignment.create({ ...opts, ...parts });
  return {
    ...parts,
    submitter,
    findWaits: (service) => findWaits(service, parts),
    peerService: createPeerService({ ...opts, ...parts, submitter }),
    setMembers: (members) => {
      assignment.setMembers(members);
      permits.setMembers(members);
    },
    onTargetsChanged: () => {
      followRegistered(opts);
      assignment.onTargetsChanged();
    },
  };
}

/** Forgets what targets said about themselves before they were started again or removed. */
function followRegistered({ notices, targets }: CreateStagesOptions): void {
  notices.followRegistered((id) => {
    const target = targets.find(id);
    return target && getStartKey(target);
  });
}

function recordAbandoned(
  { log, metrics }: Pick<CreateStagesOptions, 'log' | 'metrics'>,
  event: Parameters<typeof logAbandonedStage>[1],
): void {
  logAbandonedStage(log, event);
  const tags = { callPriority: toPriorityTag(event.priority) };
  metrics.count({ name: 'router.stage_pieces_given_up', tags, amount: event.pieces });
}

function recordDelayed(metrics: MetricSink, priority: number): void {
  const callPriority = toPriorityTag(priority);
  metrics.count({ name: 'router.stage_pieces_delayed', tags: { callPriority } });
}

function findWaits(
  service: string,
  {
    shards,
    owners,
    peers,
    workers,
  }: Pick<Stages, 'owners' | 'peers' | 'workers'> & {
    readonly shards: ServiceShards;
  },
): ReturnType<Stages['findWaits']> {
  return shards.findShards(service).map(({ key }) => {
    const owner = peers.find(owners.findOwner(key));
    return owner ? owner.waits(key) : workers.waits({ service, shard: key });
  });
}

function createPermits(
  opts: CreateStagesOptions,
  parts: { readonly owners: ServiceOwners; readonly peers: PeerRouters },
): Permits {
  return Permits.create({
    ...opts,
    ...parts,
    selfName: opts.settings.nodeName,
    maxColdRequestsPerSecond: (service) =>
      opts.routes.findService(service)?.maxColdRequestsPerSecond ?? 0,
  });
}

function createSubmitter(
  opts: CreateStagesOptions,
  parts: {
    readonly shards: ServiceShards;
    readonly owners: ServiceOwners;
    readonly peers: PeerRouters;
    readonly workers: StageWorkers;
    readonly credit: OwnerCredit;
    readonly resultMemory: ResultMemory;
  },
): StageSubmitter {
  const { shards, owners, peers, workers, credit } = parts;
  const { nodeName: selfName, availabilityZone: ownZone } = opts.settings;
  const waitMs = ({ service, key }: Shard): number => {
    const owner = peers.find(owners.findOwner(key));
    return owner ? owner.waitMs(key) : workers.waitMs({ service, shard: key });
  };
  return StageSubmitter.create({
    ...parts,
    timer: opts.timer,
    selfName,
    chooseShard: ({ service, piece }) =>
      chooseShard({
        shards: shards.findShards(service),
        piece,
        inputZone: workers.findInputZone(piece.inputs),
        ownZone,
        waitMs,
        hasWorkers: (shard) => workers.hasWorkers(shard),
        hash: opts.hash,
      })?.key ?? '',
    canAcceptLocally: () => credit.canAccept(),
    submitLocally: (submitted) => workers.submit(submitted),
  });
}

/** Number of nodes that may send pieces to the workers of a shard together with this one. */
function countSenders(opts: {
  readonly owners: ServiceOwners;
  readonly selfName: string;
  readonly nodeCount: () => number;
  readonly shard: string;
}): number {
  const candidates = opts.owners.findCandidates(opts.shard);
  if (candidates[0] === opts.selfName) {
    return 1;
  }
  return candidates.includes(opts.selfName) ? MAX_CANDIDATES : Math.max(1, opts.nodeCount());
}

async function freeResults(
  { targets, notices, loads, targetClient }: CreateStagesOptions,
  freed: { readonly address: string; readonly handles: readonly string[] },
): Promise<void> {
  // Another target may have the address by the time of the answer.
  const target = targets.findAtAddress(freed.address);
  const notice = await targetClient.freeResults({ ...freed, targetId: target?.id ?? '' });
  if (target) {
    const start = toTargetStart(target);
    notices.record({ target: start, notice, source: 'free' });
    loads.record({ target: start, load: notice?.load, ownRequests: undefined });
  }
}
