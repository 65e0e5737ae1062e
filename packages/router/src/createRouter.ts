import { createResponseMemory } from '@galenatiller/http';
import type { Duties } from '@galenatiller/duty';
import type { EventLog } from '@galenatiller/logger';
import type { MetricSink } from '@galenatiller/metrics';
import { acceptRouters, type PeerRouter } from '@galenatiller/routerLink';
import type {
  LeaseClient,
  Membership,
  PrefixSource,
  StatedEra,
  WriteIfUnchanged,
} from '@galenatiller/store';
import type { RouterSettings } from '@galenatiller/settings';
import {
  ColdRateLimiter,
  CrashSuspects,
  RetryBudget,
  TargetDirectory,
  TargetHealth,
  TargetLoads,
  TargetNotices,
  toTargetStart,
} from '@galenatiller/target';
import { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';

import { LoopLag } from './admission/index.js';
import {
  createProviderDuties,
  type ProviderDuties,
  type ProviderPorts,
} from './createProviderDuties.js';
import { CallCounter } from './callCounter.js';
import { CrashDetector } from './crashDetector.js';
import { EventLoopWatch } from './eventLoopWatch.js';
import type {
  OperatorEntryDecoder,
  RolloutStatusEntries,
  TargetEntryDecoder,
} from './entryDecoders.js';
import { createRouterContext } from './createRouterContext.js';
import { createDuties } from './createDuties.js';
import { createStoreReaders } from './createStoreReaders.js';
import { createMirrors, type Mirrors } from './createMirrors.js';
import { findStoreRelays } from './findStoreRelays.js';
import type { CallerExchange, TargetClient } from './ports.js';
import type { RouterContext } from './routerContext.js';
import { createStages, type Stages } from './createStages.js';
import { createRollouts, type RolloutParts } from './createRollouts.js';
import { runRollouts } from './runRollouts.js';
import { RouteTable } from './routeTable.js';
import { reportGauges } from './recordMetrics.js';
import {
  logEventLoopLag,
  logFailedTask,
  logStoppedFingerprint,
  logTarget,
  logTargetLoad,
  logTargetNotice,
} from './logEvents.js';
import { SenderChecks } from './senderChecks.js';
import { serveCall } from './serveCall.js';

/** Options of {@link createRouter}. */
export interface RouterOptions {
  readonly settings: RouterSettings;
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics: MetricSink;
  readonly source: PrefixSource;
  readonly storeEra: StatedEra;
  readonly leases: LeaseClient;
  readonly operatorEntries: OperatorEntryDecoder;
  readonly targetEntries: TargetEntryDecoder;
  readonly rolloutStatusEntries: RolloutStatusEntries;
  readonly writeIfUnchanged: WriteIfUnchanged;
  readonly targetClient: TargetClient;
  /** Undefined if the router calls no provider. */
  readonly provider?: ProviderPorts | undefined;
  readonly hash: (text: string) => number;
  /** Memory for responses that are read as a whole; the default is for a process of usual size. */
  readonly maxResponseBytes?: number;
  readonly random: () => number;
}

/** A router whose parts are connected, but not running yet. */
export interface Router {
  /** Whether the load balancer should send callers to this router. */
  readonly isReady: () => boolean;
  /** Time for which a request whose head is read now may have waited unread in this process. */
  readonly unreadMs: () => number;
  /** Starts the task of one call. */
  readonly serve: (exchange: CallerExchange) => void;
  /** Number of calls whose task has not ended. */
  readonly callsInProgress: () => number;
  /** Number of calls to stage workers in progress, also for other routers. */
  readonly batchesInProgress: () => number;
  /** Ends the links to the other routers, at the end of the stop. */
  readonly leave: () => void;
  readonly context: RouterContext;
  /** What one router at a time performs; undefined if the settings name no duties. */
  readonly duties: Duties | undefined;
  /** Sets the gauges of the router. */
  readonly reportGauges: (sink: MetricSink) => void;
  /** Begins to stop: calls end by a monotonic time, and stage services go to routers that stay. */
  readonly stop: (opts: { readonly endsAtMs: number }) => void;
  /** Watches the store and the other routers until the signal aborts. */
  readonly run: (opts: { readonly signal: AbortSignal }) => Promise<void>;
}

/** Creates the parts of a router and connects them. */
export function createRouter(opts: RouterOptions): Router {
  const { settings, timer, log, storeEra } = opts;
  const tasks = TaskGroup.create({ onFailure: (error) => logFailedTask(log, error) });
  const callTasks = TaskGroup.create({ onFailure: (error) => logFailedTask(log, error) });
  const { eventLoop, loopLag } = watchEventLoop(opts, (lagMs) => stages.credit.recordLag(lagMs));
  const routes = RouteTable.create();
  const targets = TargetDirectory.create({ timer, onChange: (change) => logTarget(log, change) });
  const repeatWindowMs = settings.repeatWindowS * MS_PER_S;
  const { members, relay, source } = createStoreReaders({
    ...opts,
    repeatWindowMs,
    findRelays: () => findStoreRelays({ ...opts, ...stages, selfName: settings.nodeName }),
    onMembers: (live) => [stages, duties].forEach((part) => part?.setMembers(live)),
  });
  const nodeCount = (): number => members.countNodes();
  const calls = { inFlight: CallCounter.create(), waiting: CallCounter.create() };
  const limits = createLimits({
    ...opts,
    routes,
    nodeCount,
    members,
    repeatWindowMs,
    peers: () => stages.peers.all(),
  });
  const evidenceAgeMs = (): number => mirrors.operator.evidenceAgeMs();
  const rolloutParts = createRollouts({ ...opts, evidenceAgeMs });
  const duties = createDuties({ ...opts, relay, source, directSource: opts.source, members });
  const provider = createProviderDuties({
    ...opts,
    duties,
    scaled: { routes, targets, ...calls },
    findPeer: (name) => stages.peers.find(name),
  });
  const known = { ...opts, ...limits, ...rolloutParts, routes, targets, nodeCount, evidenceAgeMs };
  const shared = { ...known, ...calls, provider, tasks, relay };
  const stages = createStages(shared);
  const mirrors = createMirrors({ ...shared, source, onChanged: () => stages.onTargetsChanged() });
  const context = createRouterContext({ ...shared, stages, loopLag });
  const parts = { ...shared, stages, eventLoop, members, duties, mirrors };
  return {
    context,
    duties,
    isReady: () => isReady(context),
    unreadMs: () => eventLoop.unreadMs,
    serve: (exchange) => callTasks.start(() => serveCall({ context, exchange })),
    callsInProgress: () => callTasks.size,
    stop: (end) => beginStop({ ...parts, context, ...end }),
    batchesInProgress: () => stages.workers.batchesInProgress,
    leave: () => members.leave(),
    reportGauges: (sink) => {
      const load = { calls: callTasks.size, nodeCount, eventLoop };
      reportGauges({ ...load, sink, context, storeEra, duties });
      provider.reportGauges(sink);
    },
    run: ({ signal }) => runParts({ ...parts, signal }),
  };
}

function watchEventLoop(
  { timer, log }: Pick<RouterOptions, 'timer' | 'log'>,
  recordLag: (lagMs: number) => void,
): { readonly eventLoop: EventLoopWatch; readonly loopLag: LoopLag } {
  const loopLag = LoopLag.create();
  const eventLoop = EventLoopWatch.create({
    timer,
    onLag: ({ lagMs }) => logEventLoopLag(log, lagMs),
    onCheck: ({ lagMs }) => {
      recordLag(lagMs);
      loopLag.record(lagMs);
    },
  });
  return { eventLoop, loopLag };
}

/** Begins the stop; duties are released before the others learn that this router leaves. */
function beginStop(opts: {
  readonly context: RouterContext;
  readonly members: Membership;
  readonly duties: Duties | undefined;
  readonly tasks: TaskGroup;
  readonly endsAtMs: number;
}): void {
  const { context, members, duties, tasks } = opts;
  context.stop.begin(opts);
  if (!duties) {
    members.startLeaving();
    return;
  }
  tasks.start(async () => {
    await duties.release();
    members.startLeaving();
  });
}

function isReady({ routes, targets, evidenceAgeMs, keyAgeLimitMs }: RouterContext): boolean {
  return (
    routes.currentConfiguration() !== undefined &&
    targets.size > 0 &&
    evidenceAgeMs() <= keyAgeLimitMs
  );
}

/** Runs the parts of a router until the signal aborts. */
async function runParts(
  opts: Omit<RouterOptions, 'provider'> &
    RolloutParts & {
      readonly provider: ProviderDuties;
      readonly tasks: TaskGroup;
      readonly eventLoop: EventLoopWatch;
      readonly members: Membership;
      readonly duties: Duties | undefined;
      readonly mirrors: Mirrors;
      readonly stages: Stages;
      readonly signal: AbortSignal;
    },
): Promise<void> {
  const { settings, mirrors, members, stages, signal } = opts;
  const { owners, peers, peerService: service } = stages;
  const stopWatch = opts.eventLoop.start();
  const links = await acceptRouters({ ...opts, service, address: settings.linkAddress });
  await Promise.all([
    mirrors.operator.run({ signal }),
    mirrors.targets.run({ signal }),
    mirrors.rollouts.run({ signal }),
    members.run({ signal }),
    opts.provider.run({ signal }),
    opts.duties?.run({ signal }),
    runRollouts({ ...opts, owners, peers, entries: opts.rolloutStatusEntries }),
  ]);
  links.close();
  peers.close();
  stopWatch();
}

type Limits = Pick<
  RouterContext,
  | 'health'
  | 'notices'
  | 'loads'
  | 'coldRateLimiter'
  | 'retryBudget'
  | 'bodyMemory'
  | 'crashDetector'
  | 'crashSuspects'
  | 'senderChecks'
>;

/** For targets of a service without such a path; any answer shows who they are. */
const DEFAULT_STATUS_PATH = '/';

/** Creates the limits that all nodes share, and the tracking of target health and crashes. */
function createLimits(
  opts: RouterOptions & {
    readonly nodeCount: () => number;
    readonly members: Pick<Membership, 'countNodesInWindow' | 'hasWholeShare'>;
    readonly repeatWindowMs: number;
    readonly routes: RouteTable;
    /** The links to all other routers. */
    readonly peers: () => readonly PeerRouter[];
  },
): Limits {
  const { settings, timer, log, nodeCount, members } = opts;
  const notices = TargetNotices.create({
    ...opts,
    share: (evidence) => opts.peers().forEach((peer) => peer.shareLeavingEvidence(evidence)),
    onEvent: (event) => logTargetNotice(log, event),
  });
  return {
    notices,
    loads: TargetLoads.create({ timer, onEvent: (event) => logTargetLoad(log, event) }),
    health: TargetHealth.create({
      timer,
      onEvent: (event) =>
        log({ about: 'belief', event: 'target-health', ...event, outcome: event.kind }),
    }),
    coldRateLimiter: ColdRateLimiter.create({
      timer,
      nodeCount,
      overFactor: settings.coldOverFactor,
      slackRequests: settings.coldSlackRequests,
    }),
    retryBudget: RetryBudget.create({
      timer,
      windowMs: opts.repeatWindowMs,
      ratio: settings.repeatRatio,
      slackRetries: settings.repeatSlack,
      nodeCount: () => members.countNodesInWindow(),
      hasWholeShare: () => members.hasWholeShare(),
    }),
    crashDetector: CrashDetector.create({
      ...opts.targetClient,
      mayProbe: (target) => notices.tryProbe(toTargetStart(target)),
    }),
    senderChecks: SenderChecks.create({
      timer,
      ask: async (target) => {
        const path = opts.routes.findService(target.service)?.statusPath ?? DEFAULT_STATUS_PATH;
        const { state, notice } = await opts.targetClient.identify({ target, path });
        notices.record({ target: toTargetStart(target), notice, source: 'health' });
        return state;
      },
      mayAsk: (target) => notices.tryProbe(toTargetStart(target)),
    }),
    bodyMemory: createResponseMemory(opts.maxResponseBytes),
    crashSuspects: CrashSuspects.create({
      timer,
      share: (evidence) => opts.peers().forEach((peer) => peer.shareCrashEvidence(evidence)),
      onStopped: (stopped) => logStoppedFingerprint(log, stopped),
    }),
  };
}

const MS_PER_S = 1_000;
