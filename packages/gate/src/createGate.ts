import { indexRules } from '@galenatiller/configuration';
import { CrashHistory } from '@galenatiller/engine';
import { createLogger, type Logger } from '@galenatiller/logger';
import {
  type ConfigurationExchange,
  NodeGossip,
  type Link,
  type AuthenticatedLink,
  Shutdown,
} from '@galenatiller/node';
import type { TargetSettings } from '@galenatiller/settings';
import { type TargetNoticeEvent, TargetNotices } from '@galenatiller/target';
import { TaskGroup } from '@galenatiller/tasks';
import type { RecordOptions } from '@galenatiller/timeline';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, TargetReport } from '@galenatiller/types';

import { CrashGuard } from './crashGuard.js';
import type { GatePolicy, ProbeTarget, TargetRunners, WatchTarget } from './policy.js';
import type { GateContext } from './gateContext.js';
import type { RunRecordRepository } from './runRecordRepository.js';
import { serveEntry } from './serveEntry.js';
import { StoppedVersions } from './stoppedVersions.js';
import { TargetAdmission } from './targetAdmission.js';

/** Options of {@link createGate}. Access to each peer is passed in as a function. */
export interface CreateGateOptions {
  readonly availabilityZone: string;
  readonly targets: readonly TargetSettings[];
  readonly timer: TimerService;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
  readonly runners: TargetRunners;
  readonly probeTarget: ProbeTarget;
  readonly watchTarget: WatchTarget;
  readonly policy: GatePolicy;
  /** Time from the start of a graceful shutdown until the process ends. */
  readonly stopLimitMs: number;
  /** Records a timeline event. */
  readonly record: (event: RecordOptions) => void;
  readonly runRecords: RunRecordRepository;
  /** Exchanges the configuration with other nodes. */
  readonly exchange: ConfigurationExchange;
  /** Reports every new configuration until the signal aborts. */
  readonly followConfiguration: (
    onConfiguration: (configuration: Configuration) => void,
    signal: AbortSignal,
  ) => Promise<void>;
}

/** A running gate. */
export interface Gate {
  /** Serves the link from one entry until it closes. */
  readonly serveLink: (authenticated: AuthenticatedLink) => Promise<void>;
  readonly listTargetReports: () => readonly TargetReport[];
  readonly readConfiguration: () => Configuration;
  /** Lists the names of the entries with an open link. */
  readonly listConnectedEntries: () => readonly string[];
  /** Counts the stage requests that are running or queued. */
  readonly countActiveRequests: () => number;
  readonly isLeaving: () => boolean;
  /** Shuts down gracefully: refuses new requests and resolves once the running ones have ended. */
  readonly stop: () => Promise<void>;
}

/** Interval at which the target reports are checked for changes that entries must learn of. */
const CHECK_INTERVAL_MS = 500;

/** Time for entries to learn of a graceful shutdown before the gate closes their links. */
const LEAVING_NOTICE_MS = 700;

/** Creates a gate and starts its background tasks; each link adds a task of its own. */
export function createGate(opts: CreateGateOptions): Gate {
  const { timer } = opts;
  const logger = createLogger('gate');
  const requestTasks = createTaskGroup(logger);
  const peerTasks = createTaskGroup(logger);
  const shutdown = Shutdown.create({ timer, limitMs: opts.stopLimitMs });
  const shutdownFinishing = new AbortController();
  const links = new Map<Link, string>();
  let configuration = indexRules({ revision: 0, rules: [] });
  const readConfiguration = (): Configuration => configuration;
  const crashes = CrashHistory.create({ ...opts, share: (items) => gossip.shareEvidence(items) });
  const versions = StoppedVersions.create();
  const gossip = NodeGossip.create({
    ...crashes.shared(),
    versions: { all: () => versions.notices, merge: (notices) => versions.merge(notices) },
    sendToAll: (frame) => links.forEach((_, link) => link.send(frame)),
  });
  const context: GateContext = {
    ...opts,
    targets: createTargets(opts, readConfiguration),
    crashGuard: CrashGuard.create({ crashes, gossip }),
    tasks: requestTasks,
    stoppedVersions: versions,
    readConfiguration,
    shutdown,
  };
  const listReports = (): readonly TargetReport[] =>
    [...context.targets.values()].map((target) => target.buildReport());
  peerTasks.start(() =>
    opts.followConfiguration((next) => {
      configuration = next;
      opts.record({ kind: 'configuration-in-force', subject: String(next.revision) });
    }, shutdownFinishing.signal),
  );
  const session = { context, listReports, checkIntervalMs: CHECK_INTERVAL_MS, gossip, logger };
  peerTasks.start(() => opts.runRecords.maintain(shutdownFinishing.signal));
  watchTargets(opts, context, peerTasks, shutdownFinishing.signal);
  return {
    listTargetReports: listReports,
    readConfiguration,
    listConnectedEntries: () => [...links.values()],
    countActiveRequests: () => requestTasks.size,
    isLeaving: () => shutdown.hasBegun,
    serveLink: async (authenticated) => {
      if (shutdownFinishing.signal.aborted) {
        // The links that were open have been closed; a new one would keep the process running.
        return;
      }
      links.set(authenticated.link, authenticated.peer.nodeName);
      await serveEntry({ ...session, exchange: opts.exchange, authenticated });
      links.delete(authenticated.link);
    },
    stop: async () => {
      await endRequests(context);
      shutdownFinishing.abort();
      links.forEach((_, link) => link.end());
      await peerTasks.drain();
    },
  };
}

/** Begins the shutdown, and resolves once entries have learnt of it and no request is left. */
async function endRequests({ shutdown, targets, timer, tasks }: GateContext): Promise<void> {
  shutdown.begin();
  targets.forEach((target) => target.refuseQueued());
  await timer.sleep({ delayMs: Math.min(LEAVING_NOTICE_MS, shutdown.remainingMs) });
  await tasks.drain();
  shutdown.finish();
}

function watchTargets(
  opts: CreateGateOptions,
  context: GateContext,
  tasks: TaskGroup,
  signal: AbortSignal,
): void {
  context.targets.forEach((target) => {
    const onStartId = (startId: string): void => target.onStartId(startId);
    tasks.start(() =>
      opts.watchTarget({
        settings: target.settings,
        onStartId,
        onNotice: (notice, startId) => target.onNotice({ notice, startId, source: 'health' }),
        mayPoll: () => !target.isPaused,
        signal,
      }),
    );
  });
}

function createTaskGroup(logger: Logger): TaskGroup {
  return TaskGroup.create({
    onFailure: (error) => {
      logger({ message: `Background task failed: ${String(error)}.` });
    },
  });
}

function createTargets(
  opts: CreateGateOptions,
  readConfiguration: () => Configuration,
): ReadonlyMap<string, TargetAdmission> {
  const { timer, policy, random } = opts;
  const notices = TargetNotices.create({
    timer,
    random,
    // Only this gate calls its targets, and it reports their state to the entries.
    share: () => {},
    onEvent: (event) => recordNotice(opts, event),
  });
  const getWeight = (organisation: string): number =>
    readConfiguration().organisations.get(organisation)?.weight ?? 1;
  return new Map(
    opts.targets.map((settings) => [
      settings.name,
      TargetAdmission.create({
        settings,
        timer,
        notices,
        queuePolicy: policy.queue,
        concurrencyLimit: policy.createConcurrencyLimit({ settings, timer }),
        loadLimit: policy.createLoadLimit({
          maxInFlight: settings.inFlightLimit,
          minInFlight: settings.coldInFlightLimit,
        }),
        getWeight,
      }),
    ]),
  );
}

/** Timeline event of each change; a later start and the end of a pause make a target ready. */
const NOTICE_EVENTS = {
  leaving: 'target-leaving',
  'leaving-ended': 'target-ready',
  paused: 'target-paused',
  'pause-extended': 'target-paused',
  'pause-ignored': 'target-paused',
  'pause-ended': 'target-ready',
} as const;

function recordNotice(opts: CreateGateOptions, event: TargetNoticeEvent): void {
  const detail =
    'bound' in event
      ? `${event.kind}, asked for "${event.text}" (${event.bound}), for ${event.forMs} ms`
      : `${event.kind}, ${event.source}`;
  opts.record({ kind: NOTICE_EVENTS[event.kind], subject: event.targetId, detail });
}
