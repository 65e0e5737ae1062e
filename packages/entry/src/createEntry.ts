import type { Call, CallAnswer, TakePart } from '@galenatiller/caller';
import { indexRules } from '@galenatiller/configuration';
import type { GalenatillerError } from '@galenatiller/error';
import { createLogger } from '@galenatiller/logger';
import type { NodeIdentity, ProvedLink } from '@galenatiller/node';
import { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, Host } from '@galenatiller/types';
import type { Result } from 'true-myth';

import { followGate } from './followGate.js';
import { GateDirectory } from './gateDirectory.js';
import type { EntryPolicy } from './policy.js';
import { runCall } from './runCall.js';

/** Options of {@link createEntry}; every peer is reached by a function. */
export interface CreateEntryOptions {
  readonly identity: NodeIdentity;
  readonly timer: TimerService;
  readonly policy: EntryPolicy;
  /** Uniform in [0, 1). */
  readonly random: () => number;
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
  let configuration = indexRules({ revision: 0, rules: [] });
  const readConfiguration = (): Configuration => configuration;
  const directory = createDirectory(opts, peers, readConfiguration);

  peers.start(() =>
    opts.followConfiguration((next) => {
      configuration = next;
      logger({ message: `Revision ${next.revision} is in force.` });
    }, ending.signal),
  );
  peers.start(() =>
    opts.followHosts((hosts) => {
      directory.update(hosts);
    }, ending.signal),
  );

  const shared = {
    readConfiguration,
    directory,
    policy: opts.policy,
    timer: opts.timer,
    logger,
    random: opts.random,
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

function createDirectory(
  opts: CreateEntryOptions,
  tasks: TaskGroup,
  readConfiguration: () => Configuration,
): GateDirectory {
  const { timer, random, openLink } = opts;
  const logger = createLogger('link');
  const readRevision = (): number => readConfiguration().revision;
  return GateDirectory.create({
    timer,
    tasks,
    follow: (gate, signal) =>
      followGate({ gate, openLink, timer, logger, random, readRevision, signal }),
  });
}
