import {
  type Call,
  type CallAnswer,
  OrganisationLimiter,
  type TakePart,
} from '@galenatiller/caller';
import { indexRules } from '@galenatiller/configuration';
import { CrashLedger } from '@galenatiller/engine';
import type { GalenatillerError } from '@galenatiller/error';
import { createLogger } from '@galenatiller/logger';
import type { NodeFrame, NodeIdentity, ProvedLink } from '@galenatiller/node';
import { TaskGroup } from '@galenatiller/tasks';
import type { RecordOptions } from '@galenatiller/timeline';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, Host } from '@galenatiller/types';
import type { Result } from 'true-myth';

import { followGate } from './followGate.js';
import { GateDirectory } from './gateDirectory.js';
import type { EntryPolicy } from './policy.js';
import { RetryBudget } from './retryBudget.js';
import { runCall } from './runCall.js';

/** Options of {@link createEntry}; every peer is reached by a function. */
export interface CreateEntryOptions {
  readonly identity: NodeIdentity;
  readonly timer: TimerService;
  readonly policy: EntryPolicy;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Records an event of the time line. */
  readonly record: (event: RecordOptions) => void;
  readonly openLink: (host: Host) => Promise<Result<ProvedLink, GalenatillerError>>;
  /** Follows the configuration until the signal aborts. */
  readonly followConfiguration: (
    onConfiguration: (configuration: Configuration) => void,
    signal: AbortSignal,
  ) => Promise<void>;
  /** Follows the host list until the signal aborts. */
  readonly followHosts: (
    onHosts: (hosts: readonly Host[]) => void,
    signal: AbortSignal,
  ) => Promise<void>;
}

/** An entry that runs. */
export interface Entry {
  readonly runCall: (
    call: Call,
    takePart: TakePart,
  ) => Promise<Result<CallAnswer, GalenatillerError>>;
  readonly readConfiguration: () => Configuration;
  readonly directory: GateDirectory;
  /** False before the first configuration and during shutdown. */
  readonly isReady: () => boolean;
  /** Starts refusing calls. */
  readonly beginStop: () => void;
  /** Ends every link; to be called when the running calls have ended. */
  readonly finishStop: () => Promise<void>;
}

/** Starts the tasks of an entry: one for the configuration, the host list and each gate. */
export function createEntry(opts: CreateEntryOptions): Entry {
  const logger = createLogger('entry');
  const peers = TaskGroup.create({
    onFailure: (error) => {
      logger({ message: `A task failed: ${String(error)}.` });
    },
  });
  const stopping = new AbortController();
  const ending = new AbortController();
  let entryCount = 1;
  let configuration = indexRules({ revision: 0, rules: [] });
  const readConfiguration = (): Configuration => configuration;
  const crashes = CrashLedger.create({ timer: opts.timer });
  const directory = createDirectory({ ...opts, crashes, tasks: peers, readConfiguration });

  peers.start(() =>
    opts.followConfiguration((next) => {
      configuration = next;
      opts.record({ kind: 'configuration-in-force', subject: String(next.revision) });
      logger({ message: `Revision ${next.revision} is in force.` });
    }, ending.signal),
  );
  peers.start(() =>
    opts.followHosts((hosts) => {
      entryCount = hosts.filter(isLiveEntry).length;
      directory.update(hosts);
    }, ending.signal),
  );

  const shared = {
    ...opts,
    readConfiguration,
    directory,
    crashes,
    retryBudget: RetryBudget.create(),
    limiter: OrganisationLimiter.create({
      timer: opts.timer,
      findLimit: (organisation) => configuration.limits.get(organisation),
      countEntries: () => entryCount,
    }),
    ownAvailabilityZone: opts.identity.availabilityZone,
  };
  return {
    runCall: (call, takePart) => runCall(shared, call, takePart),
    readConfiguration,
    directory,
    isReady: () => !stopping.signal.aborted && configuration.revision > 0,
    beginStop: () => {
      stopping.abort();
    },
    finishStop: async () => {
      stopping.abort();
      ending.abort();
      directory.stop();
      await peers.drain();
    },
  };
}

function isLiveEntry(host: Host): boolean {
  return host.role === 'entry' && host.state === 'live';
}

interface CreateDirectoryOptions extends CreateEntryOptions {
  readonly crashes: CrashLedger;
  readonly tasks: TaskGroup;
  readonly readConfiguration: () => Configuration;
}

function createDirectory(opts: CreateDirectoryOptions): GateDirectory {
  const logger = createLogger('link');
  const readRevision = (): number => opts.readConfiguration().revision;
  const directory = GateDirectory.create({
    timer: opts.timer,
    tasks: opts.tasks,
    follow: (gate, signal) => followGate({ ...opts, gate, logger, readRevision, onFrame, signal }),
  });
  return directory;

  /** What one gate tells of crashes the others must know too. */
  function onFrame(frame: NodeFrame): void {
    const news = frame.kind === 'crashes' ? opts.crashes.merge(frame.records) : [];
    if (news.length > 0) {
      directory.gates.forEach((gate) => gate.send({ kind: 'crashes', records: news }));
    }
  }
}
