import type { EventLog } from '@galenatiller/logger';
import type { MetricSink } from '@galenatiller/metrics';
import { ResultMemory } from '@galenatiller/pool';
import { acceptRouters, type PeerService } from '@galenatiller/routerLink';
import {
  type LeaseClient,
  type Member,
  Membership,
  PrefixMirror,
  type PrefixSource,
} from '@galenatiller/store';
import type { RouterSettings } from '@galenatiller/settings';
import {
  ColdRateLimiter,
  CrashSuspects,
  RetryBudget,
  TargetDirectory,
  TargetHealth,
} from '@galenatiller/target';
import { TaskGroup } from '@galenatiller/tasks';
import { SmoothedDurations, type TimerService } from '@galenatiller/timer';
import type { CrashEvidence } from '@galenatiller/types';

import { CallCounter } from './callCounter.js';
import { CrashDetector } from './crashDetector.js';
import { EventLoopWatch } from './eventLoopWatch.js';
import type { OperatorEntryDecoder, TargetEntryDecoder } from './entryDecoders.js';
import { createOperatorHandlers } from './createOperatorHandlers.js';
import { createTargetHandlers } from './createTargetHandlers.js';
import type { CallerExchange, TargetClient } from './ports.js';
import type { RouterContext } from './routerContext.js';
import { RouteTable } from './routeTable.js';
import { recordBatchMetrics, reportGauges } from './recordMetrics.js';
import {
  logAbandonedStage,
  logEventLoopLag,
  logFailedTask,
  logLinkEvent,
  logMembers,
  logStageCall,
  logStoppedFingerprint,
  logStoreEvent,
  logTarget,
} from './logEvents.js';
import type { SubmitPiece } from './runStages.js';
import { serveCall } from './serveCall.js';
import { StageOwners } from './stageOwners.js';
import { StageWorkers } from './stageWorkers.js';

/** Options of {@link createRouter}. */
export interface RouterOptions {
  readonly settings: RouterSettings;
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics: MetricSink;
  readonly source: PrefixSource;
  readonly leases: LeaseClient;
  readonly operatorEntries: OperatorEntryDecoder;
  readonly targetEntries: TargetEntryDecoder;
  readonly targetClient: TargetClient;
  readonly hash: (text: string) => number;
  readonly random: () => number;
}

/** A router whose parts are connected, but not running yet. */
export interface Router {
  /** Whether the load balancer should send callers to this router. */
  readonly isReady: () => boolean;
  /** Starts the task of one call. */
  readonly serve: (exchange: CallerExchange) => void;
  /** Number of calls whose task has not ended. */
  readonly callsInProgress: () => number;
  readonly context: RouterContext;
  /** Sets the gauges of the router. */
  readonly reportGauges: (sink: MetricSink) => void;
  /** Tells the other routers that this one accepts no more work from them. */
  readonly leave: () => void;
  /** Watches the store and the other routers until the signal aborts. */
  readonly run: (opts: { readonly signal: AbortSignal }) => Promise<void>;
}

/** Creates the parts of a router and connects them. */
export function createRouter(opts: RouterOptions): Router {
  const { settings, timer, log, metrics, random } = opts;
  const tasks = TaskGroup.create({ onFailure: (error) => logFailedTask(log, error) });
  const callTasks = TaskGroup.create({ onFailure: (error) => logFailedTask(log, error) });
  const onLag = ({ lagMs }: { readonly lagMs: number }): void => logEventLoopLag(log, lagMs);
  const eventLoop = EventLoopWatch.create({ timer, onLag });
  const routes = RouteTable.create();
  const targets = TargetDirectory.create({ timer, onChange: (change) => logTarget(log, change) });
  const members = createMembership({ ...opts, onChange: (live) => stages.owners.setMembers(live) });
  const nodeCount = (): number => members.countNodes();
  const limits = createLimits({
    ...opts,
    nodeCount,
    share: (evidence) => stages.owners.shareCrashEvidence(evidence),
  });
  const stages = createStages({ ...opts, ...limits, routes, targets, nodeCount, tasks });
  const { peerService: service } = stages;
  const mirrors = createMirrors({
    ...opts,
    routes,
    targets,
    onChanged: () => stages.workers.refresh(),
  });
  const context: RouterContext = {
    timer,
    log,
    metrics,
    ownZone: settings.availabilityZone,
    routes,
    targets,
    ...limits,
    inFlight: CallCounter.create(),
    responseTimes: SmoothedDurations.create(),
    targetClient: opts.targetClient,
    submitPiece: stages.owners.submit,
    freeResults: (handles) => stages.owners.free(handles),
    evidenceAgeMs: () => mirrors.operator.evidenceAgeMs(),
    keyAgeLimitMs: settings.keyAgeLimitMs,
    hash: opts.hash,
    random,
  };
  return {
    context,
    isReady: () =>
      routes.currentConfiguration() !== undefined &&
      targets.size > 0 &&
      context.evidenceAgeMs() <= settings.keyAgeLimitMs,
    serve: (exchange) => callTasks.start(() => serveCall({ context, exchange })),
    callsInProgress: () => callTasks.size,
    leave: () => members.leave(),
    reportGauges: (sink) => {
      const eventLoopLagMs = eventLoop.lagMs;
      reportGauges({ sink, context, calls: callTasks.size, nodeCount, eventLoopLagMs });
    },
    run: ({ signal }) => runParts({ ...opts, tasks, eventLoop, members, mirrors, service, signal }),
  };
}

/** Runs the parts of a router until the signal aborts. */
async function runParts(
  opts: Pick<RouterOptions, 'settings' | 'timer'> & {
    readonly tasks: TaskGroup;
    readonly eventLoop: EventLoopWatch;
    readonly members: Membership;
    readonly mirrors: Mirrors;
    readonly service: PeerService;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const { settings, mirrors, members, signal } = opts;
  const stopWatch = opts.eventLoop.start();
  const links = await acceptRouters({ ...opts, address: settings.linkAddress });
  await Promise.all([
    mirrors.operator.run({ signal }),
    mirrors.targets.run({ signal }),
    members.run({ signal }),
  ]);
  links.close();
  stopWatch();
}

function createMembership(
  opts: RouterOptions & { readonly onChange: (members: readonly Member[]) => void },
): Membership {
  const { settings, log } = opts;
  return Membership.create({
    ...opts,
    self: {
      name: settings.nodeName,
      address: settings.linkAddress,
      cpuCores: settings.cpuShare * settings.cores,
    },
    onChange: (live) => {
      logMembers(log, live);
      opts.onChange(live);
    },
    onEvent: (event) => logStoreEvent(log, event),
  });
}

interface StagesOptions extends RouterOptions {
  readonly routes: RouteTable;
  readonly targets: TargetDirectory;
  readonly nodeCount: () => number;
  readonly tasks: TaskGroup;
  readonly crashSuspects: CrashSuspects;
}

interface Stages {
  readonly workers: StageWorkers;
  readonly owners: StageOwners;
  readonly peerService: PeerService;
}

/** Creates the queues and tasks of the stage workers, and tracks which services this node owns. */
function createStages(opts: StagesOptions): Stages {
  const { timer, log, nodeCount } = opts;
  const resultMemory = ResultMemory.create({
    timer,
    freeResults: opts.targetClient.freeResults,
    onMemoryFreed: () => workers.notifyMemoryFreed(),
  });
  const workers = StageWorkers.create({
    ...opts,
    resultMemory,
    memoryShare: (service) => (owners.isOwner(service) ? 1 : 1 / nodeCount()),
    runPieces: opts.targetClient.runPieces,
    onBatch: (event) => {
      logStageCall(log, event);
      recordBatchMetrics(opts.metrics, event);
    },
    onStageAbandoned: (event) => logAbandonedStage(log, event),
  });
  const submitLocally: SubmitPiece = (submitted) => workers.submit(submitted);
  const owners = StageOwners.create({
    ...opts,
    selfName: opts.settings.nodeName,
    submitLocally,
    resultMemory,
    onLinkEvent: (event) => logLinkEvent(log, event),
    currentCrashes: () => opts.crashSuspects.currentCrashes(),
  });
  const peerService = {
    runPiece: submitLocally,
    free: (handles: readonly string[]) => resultMemory.free(handles),
    mergeCrashEvidence: (evidence: readonly CrashEvidence[]) => opts.crashSuspects.merge(evidence),
  };
  return { workers, owners, peerService };
}

type Limits = Pick<
  RouterContext,
  'health' | 'coldRateLimiter' | 'retryBudget' | 'crashDetector' | 'crashSuspects'
>;

/** Creates the limits that all nodes share, and the tracking of target health and crashes. */
function createLimits(
  opts: RouterOptions & {
    readonly nodeCount: () => number;
    readonly share: (evidence: readonly CrashEvidence[]) => void;
  },
): Limits {
  const { settings, timer, log, nodeCount } = opts;
  return {
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
      windowMs: settings.repeatWindowS * MS_PER_S,
      ratio: settings.repeatRatio,
      slackRetries: settings.repeatSlack,
      nodeCount,
    }),
    crashDetector: CrashDetector.create(opts.targetClient),
    crashSuspects: CrashSuspects.create({
      timer,
      share: opts.share,
      onStopped: (stopped) => logStoppedFingerprint(log, stopped),
    }),
  };
}

interface MirrorsOptions extends RouterOptions {
  readonly routes: RouteTable;
  readonly targets: TargetDirectory;
  readonly onChanged: () => void;
}

interface Mirrors {
  readonly operator: PrefixMirror;
  readonly targets: PrefixMirror;
}

/** Creates mirrors of what operators and targets write to the store. */
function createMirrors(opts: MirrorsOptions): Mirrors {
  const { source, timer, random, log, targets } = opts;
  const common = {
    source,
    timer,
    random,
    waitMs: MAX_WATCH_WAIT_MS,
    responseMarginMs: RESPONSE_MARGIN_MS,
  };
  return {
    operator: PrefixMirror.create({
      ...common,
      ...createOperatorHandlers(opts),
      onEvent: (event) => logStoreEvent(log, event),
    }),
    targets: PrefixMirror.create({
      ...common,
      ...createTargetHandlers(opts),
      onEvent: (event) => {
        if (event.kind === 'regained') {
          targets.onStoreReconnected();
        }
        logStoreEvent(log, event);
      },
    }),
  };
}

const MS_PER_S = 1_000;

/** While the store responds, evidence is never older than this; each wait is one call. */
const MAX_WATCH_WAIT_MS = 1_000;

/** Time for the response beyond the wait; a slow store needs a quarter of a second for it. */
const RESPONSE_MARGIN_MS = 800;
