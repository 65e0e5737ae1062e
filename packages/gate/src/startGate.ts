import { randomUUID } from 'node:crypto';

import { indexRules } from '@galenatiller/configuration';
import { createLogger } from '@galenatiller/logger';
import { acceptLinks, type Link, type LinkServer } from '@galenatiller/node';
import type { GateSettings } from '@galenatiller/settings';
import { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, TargetReport } from '@galenatiller/types';

import type { TargetRunners } from './policy.js';
import type { GateContext } from './runOrder.js';
import type { RunRecordKeeper } from './runRecordKeeper.js';
import { serveEntry } from './serveEntry.js';
import { TargetAdmission } from './targetAdmission.js';

/** Options of {@link startGate}. */
export interface StartGateOptions {
  readonly settings: GateSettings;
  readonly timer: TimerService;
  readonly runners: TargetRunners;
  readonly runRecords: RunRecordKeeper;
  /** Follows the configuration until the signal aborts. */
  readonly followConfiguration: (
    onConfiguration: (configuration: Configuration) => void,
    signal: AbortSignal,
  ) => Promise<void>;
}

/** A gate that runs. */
export interface RunningGate {
  readonly linkPort: number;
  /** Graceful shutdown: refuses new orders; resolves when every running order has ended. */
  readonly stop: () => Promise<void>;
}

/** Time between reports on an idle link. */
const REPORT_INTERVAL_MS = 500;

/** Entries are told of a graceful shutdown so long before the links end. */
const LEAVING_NOTICE_MS = 200;

/** Starts the tasks of a gate: one for the store and one for each link from an entry. */
export async function startGate(opts: StartGateOptions): Promise<RunningGate> {
  const { settings, timer } = opts;
  const logger = createLogger('gate');
  const onFailure = (error: unknown): void => {
    logger({ message: `A task failed: ${String(error)}.` });
  };
  const orders = TaskGroup.create({ onFailure });
  const peers = TaskGroup.create({ onFailure });
  const stopping = new AbortController();
  let configuration = indexRules({ revision: 0, rules: [] });

  const context: GateContext = {
    targets: createTargets(opts),
    runners: opts.runners,
    runRecords: opts.runRecords,
    timer,
    logger,
    availabilityZone: settings.availabilityZone,
    readConfiguration: () => configuration,
    isLeaving: () => stopping.signal.aborted,
  };
  peers.start(() =>
    opts.followConfiguration((next) => {
      configuration = next;
      logger({ message: `Revision ${next.revision} is in force.` });
    }, stopping.signal),
  );
  const links = new Set<Link>();
  const server = await openLinkPort({ settings, context, orders, peers, links });
  return {
    linkPort: server.port,
    stop: async () => {
      stopping.abort();
      server.stop();
      await timer.sleep({ delayMs: REPORT_INTERVAL_MS + LEAVING_NOTICE_MS });
      await orders.drain();
      links.forEach((link) => {
        link.end();
      });
      await peers.drain();
    },
  };
}

function createTargets(opts: StartGateOptions): ReadonlyMap<string, TargetAdmission> {
  const { settings, timer } = opts;
  return new Map(
    settings.targets.map((target) => [
      target.name,
      TargetAdmission.create({ settings: target, timer }),
    ]),
  );
}

interface OpenLinkPortOptions {
  readonly settings: GateSettings;
  readonly context: GateContext;
  readonly orders: TaskGroup;
  readonly peers: TaskGroup;
  /** Open links, kept up to date by their tasks. */
  readonly links: Set<Link>;
}

function openLinkPort(opts: OpenLinkPortOptions): Promise<LinkServer> {
  const { settings, context, links } = opts;
  const readReports = (): readonly TargetReport[] =>
    [...context.targets.values()].map((target) => target.report());
  return acceptLinks({
    address: settings.linkAddress,
    port: settings.linkPort,
    identity: {
      nodeName: settings.nodeName,
      role: 'gate',
      availabilityZone: settings.availabilityZone,
      incarnation: randomUUID(),
    },
    keys: settings.linkKeys,
    timer: context.timer,
    logger: createLogger('link'),
    tasks: opts.peers,
    serve: async (proved) => {
      links.add(proved.link);
      await serveEntry({
        proved,
        context,
        tasks: opts.orders,
        readReports,
        reportIntervalMs: REPORT_INTERVAL_MS,
      });
      links.delete(proved.link);
    },
  });
}
