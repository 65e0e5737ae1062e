import { indexRules } from '@galenatiller/configuration';
import { CrashRegistry } from '@galenatiller/engine';
import { createLogger, type Logger } from '@galenatiller/logger';
import {
  type ConfigurationExchange,
  NodeGossip,
  type Link,
  type AuthenticatedLink,
} from '@galenatiller/node';
import type { TargetSettings } from '@galenatiller/settings';
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

/** Options of {@link createGate}; every peer is reached by a function. */
export interface CreateGateOptions {
  readonly availabilityZone: string;
  readonly targets: readonly TargetSettings[];
  readonly timer: TimerService;
  readonly runners: TargetRunners;
  readonly probeTarget: ProbeTarget;
  readonly watchTarget: WatchTarget;
  readonly policy: GatePolicy;
  /** Records an event of the time line. */
  readonly record: (event: RecordOptions) => void;
  readonly runRecords: RunRecordRepository;
  /** Shares the configuration with other nodes. */
  readonly exchange: ConfigurationExchange;
  /** Follows the configuration until the signal aborts. */
  readonly followConfiguration: (
    onConfiguration: (configuration: Configuration) => void,
    signal: AbortSignal,
  ) => Promise<void>;
}

/** A gate that runs. */
export interface Gate {
  /** Serves the link from one entry until it ends. */
  readonly serveLink: (proved: AuthenticatedLink) => Promise<void>;
  readonly listTargetReports: () => readonly TargetReport[];
  readonly readConfiguration: () => Configuration;
  /** Names of the entries with an open link. */
  readonly listConnectedEntries: () => readonly string[];
  /** Orders that run or wait. */
  readonly countActiveRequests: () => number;
  readonly isLeaving: () => boolean;
  /** Graceful shutdown: refuses new orders; resolves when every running order has ended. */
  readonly stop: () => Promise<void>;
}

/** Time between reports on an idle link. */
const REPORT_INTERVAL_MS = 500;

/** Entries are told of a graceful shutdown so long before the links end. */
const LEAVING_NOTICE_MS = 700;

/** Starts the tasks of a gate: one for the configuration; each link brings its own. */
export function createGate(opts: CreateGateOptions): Gate {
  const { timer } = opts;
  const logger = createLogger('gate');
  const orders = createTasks(logger);
  const peers = createTasks(logger);
  const stopping = new AbortController();
  const ending = new AbortController();
  const links = new Map<Link, string>();
  let configuration = indexRules({ revision: 0, rules: [] });
  const readConfiguration = (): Configuration => configuration;
  const crashes = CrashRegistry.create({ timer });
  const versions = StoppedVersions.create();
  const news = NodeGossip.create({
    crashes: { all: () => crashes.records, merge: (records) => crashes.merge(records) },
    versions: { all: () => versions.notices, merge: (notices) => versions.merge(notices) },
    sendToAll: (frame) => links.forEach((_, link) => link.send(frame)),
  });
  const context: GateContext = {
    ...opts,
    targets: createTargets(opts, readConfiguration),
    crashGuard: CrashGuard.create({ registry: crashes, news }),
    tasks: orders,
    stoppedVersions: versions,
    readConfiguration,
    isLeaving: () => stopping.signal.aborted,
  };
  const readReports = (): readonly TargetReport[] =>
    [...context.targets.values()].map((target) => target.buildReport());
  peers.start(() =>
    opts.followConfiguration((next) => {
      configuration = next;
      opts.record({ kind: 'configuration-in-force', subject: String(next.revision) });
    }, stopping.signal),
  );
  const session = { context, readReports, reportIntervalMs: REPORT_INTERVAL_MS, news, logger };
  peers.start(() => opts.runRecords.maintain(ending.signal));
  watchTargets(opts, context, peers, ending.signal);
  return {
    listTargetReports: readReports,
    readConfiguration,
    listConnectedEntries: () => [...links.values()],
    countActiveRequests: () => orders.size,
    isLeaving: context.isLeaving,
    serveLink: async (proved) => {
      links.set(proved.link, proved.peer.nodeName);
      await serveEntry({ ...session, exchange: opts.exchange, proved });
      links.delete(proved.link);
    },
    stop: async () => {
      stopping.abort();
      await timer.sleep({ delayMs: LEAVING_NOTICE_MS });
      await orders.drain();
      ending.abort();
      links.forEach((_, link) => link.end());
      await peers.drain();
    },
  };
}

function watchTargets(
  opts: CreateGateOptions,
  context: GateContext,
  tasks: TaskGroup,
  signal: AbortSignal,
): void {
  context.targets.forEach((target) => {
    const onStartId = (startId: string): void => target.onStartId(startId);
    tasks.start(() => opts.watchTarget({ settings: target.settings, onStartId, signal }));
  });
}

function createTasks(logger: Logger): TaskGroup {
  return TaskGroup.create({
    onFailure: (error) => {
      logger({ message: `A task failed: ${String(error)}.` });
    },
  });
}

function createTargets(
  opts: CreateGateOptions,
  readConfiguration: () => Configuration,
): ReadonlyMap<string, TargetAdmission> {
  const { timer, policy } = opts;
  const weightOf = (organisation: string): number =>
    readConfiguration().organisations.get(organisation)?.weight ?? 1;
  return new Map(
    opts.targets.map((settings) => [
      settings.name,
      TargetAdmission.create({
        settings,
        timer,
        queuePolicy: policy.queue,
        concurrencyLimit: policy.createConcurrencyLimit({ settings, timer }),
        loadLimit: policy.createLoadLimit({
          maxInFlight: settings.inFlightLimit,
          minInFlight: settings.coldInFlightLimit,
        }),
        getWeight: weightOf,
      }),
    ]),
  );
}
