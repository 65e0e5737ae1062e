import { indexRules } from '@galenatiller/configuration';
import { createLogger } from '@galenatiller/logger';
import type { Link, ProvedLink } from '@galenatiller/node';
import type { TargetSettings } from '@galenatiller/settings';
import { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, TargetReport } from '@galenatiller/types';

import type { TargetRunners } from './policy.js';
import type { GateContext } from './runOrder.js';
import type { RunRecordKeeper } from './runRecordKeeper.js';
import { serveEntry } from './serveEntry.js';
import { TargetAdmission } from './targetAdmission.js';

/** Options of {@link createGate}; every peer is reached by a function. */
export interface CreateGateOptions {
  readonly availabilityZone: string;
  readonly targets: readonly TargetSettings[];
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
export interface Gate {
  /** Serves the link from one entry until it ends. */
  readonly serveLink: (proved: ProvedLink) => Promise<void>;
  readonly readReports: () => readonly TargetReport[];
  readonly readConfiguration: () => Configuration;
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
  const onFailure = (error: unknown): void => {
    logger({ message: `A task failed: ${String(error)}.` });
  };
  const orders = TaskGroup.create({ onFailure });
  const peers = TaskGroup.create({ onFailure });
  const stopping = new AbortController();
  const links = new Set<Link>();
  let configuration = indexRules({ revision: 0, rules: [] });

  const context: GateContext = {
    targets: createTargets(opts),
    runners: opts.runners,
    runRecords: opts.runRecords,
    tasks: orders,
    timer,
    logger,
    availabilityZone: opts.availabilityZone,
    readConfiguration: () => configuration,
    isLeaving: () => stopping.signal.aborted,
  };
  const readReports = (): readonly TargetReport[] =>
    [...context.targets.values()].map((target) => target.report());
  peers.start(() =>
    opts.followConfiguration((next) => {
      configuration = next;
      logger({ message: `Revision ${next.revision} is in force.` });
    }, stopping.signal),
  );
  const ending = new AbortController();
  peers.start(() => opts.runRecords.keep(ending.signal));
  return {
    readReports,
    readConfiguration: context.readConfiguration,
    serveLink: async (proved) => {
      links.add(proved.link);
      await serveEntry({
        proved,
        context,
        readReports,
        reportIntervalMs: REPORT_INTERVAL_MS,
      });
      links.delete(proved.link);
    },
    stop: async () => {
      stopping.abort();
      await timer.sleep({ delayMs: LEAVING_NOTICE_MS });
      await orders.drain();
      ending.abort();
      links.forEach((link) => {
        link.end();
      });
      await peers.drain();
    },
  };
}

function createTargets(opts: CreateGateOptions): ReadonlyMap<string, TargetAdmission> {
  const { timer } = opts;
  return new Map(
    opts.targets.map((target) => [
      target.name,
      TargetAdmission.create({ settings: target, timer }),
    ]),
  );
}
