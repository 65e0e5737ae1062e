import { randomUUID } from 'node:crypto';

import { type CallerServer, serveCallers } from '@galenatiller/caller';
import { indexRules } from '@galenatiller/configuration';
import type { GalenatillerError } from '@galenatiller/error';
import { createLogger } from '@galenatiller/logger';
import type { NodeIdentity } from '@galenatiller/node';
import type { EntrySettings } from '@galenatiller/settings';
import { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, Host } from '@galenatiller/types';
import type { Result } from 'true-myth';

import { followGate } from './followGate.js';
import { GateDirectory } from './gateDirectory.js';
import { OrganisationDirectory } from './organisationDirectory.js';
import type { EntryPolicy } from './policy.js';
import { runCall, type RunCallOptions } from './runCall.js';

/** Options of {@link startEntry}. */
export interface StartEntryOptions {
  readonly settings: EntrySettings;
  readonly timer: TimerService;
  readonly policy: EntryPolicy;
  readonly random: () => number;
  /** Follows the configuration until the signal aborts. */
  readonly followConfiguration: (
    onConfiguration: (configuration: Configuration) => void,
    signal: AbortSignal,
  ) => Promise<void>;
  readonly readHosts: () => Promise<Result<readonly Host[], GalenatillerError>>;
}

/** An entry that runs. */
export interface RunningEntry {
  readonly callerPort: number;
  /** Graceful shutdown: no new calls; resolves when every running call has ended. */
  readonly stop: () => Promise<void>;
}

/** Time between reads of the host list. */
const HOST_LIST_INTERVAL_MS = 1_000;

/** Starts the tasks of an entry: one for the callers' port, the store, the host list and each gate. */
export async function startEntry(opts: StartEntryOptions): Promise<RunningEntry> {
  const logger = createLogger('entry');
  const onFailure = (error: unknown): void => {
    logger({ message: `A task failed: ${String(error)}.` });
  };
  const calls = TaskGroup.create({ onFailure });
  const peers = TaskGroup.create({ onFailure });
  const stopping = new AbortController();
  let configuration = indexRules({ revision: 0, rules: [] });
  const readConfiguration = (): Configuration => configuration;

  const directory = createDirectory(opts, peers, readConfiguration);
  peers.start(() =>
    opts.followConfiguration((next) => {
      configuration = next;
      logger({ message: `Revision ${next.revision} is in force.` });
    }, stopping.signal),
  );
  peers.start(() => followHostList({ ...opts, directory, signal: stopping.signal }));

  const isReady = (): boolean => !stopping.signal.aborted && configuration.revision > 0;
  const server = await openCallerPort({ ...opts, calls, directory, readConfiguration, isReady });
  return {
    callerPort: server.port,
    stop: async () => {
      stopping.abort();
      server.stop();
      await calls.drain();
      directory.stop();
      await peers.drain();
    },
  };
}

function createDirectory(
  opts: StartEntryOptions,
  tasks: TaskGroup,
  readConfiguration: () => Configuration,
): GateDirectory {
  const { settings, timer, random } = opts;
  const logger = createLogger('link');
  const identity: NodeIdentity = {
    nodeName: settings.nodeName,
    role: 'entry',
    availabilityZone: settings.availabilityZone,
    incarnation: randomUUID(),
  };
  const keys = settings.linkKeys;
  const readRevision = (): number => readConfiguration().revision;
  return GateDirectory.create({
    timer,
    tasks,
    follow: (gate, signal) =>
      followGate({ gate, identity, keys, timer, logger, random, readRevision, signal }),
  });
}

interface OpenCallerPortOptions extends StartEntryOptions {
  readonly calls: TaskGroup;
  readonly directory: GateDirectory;
  readonly readConfiguration: () => Configuration;
  readonly isReady: () => boolean;
}

function openCallerPort(opts: OpenCallerPortOptions): Promise<CallerServer> {
  const { settings } = opts;
  const organisations = OrganisationDirectory.create(opts);
  const shared: RunCallOptions = {
    ...opts,
    logger: createLogger('entry'),
    ownAvailabilityZone: settings.availabilityZone,
  };
  return serveCallers({
    address: settings.callerAddress,
    port: settings.callerPort,
    logger: createLogger('caller'),
    tasks: opts.calls,
    findOrganisation: (keyHash) => organisations.find(keyHash),
    createRequestId: randomUUID,
    runCall: (call, takePart) => runCall(shared, call, takePart),
    isReady: opts.isReady,
  });
}

interface FollowHostListOptions {
  readonly timer: TimerService;
  readonly readHosts: StartEntryOptions['readHosts'];
  readonly directory: GateDirectory;
  readonly signal: AbortSignal;
}

async function followHostList(opts: FollowHostListOptions): Promise<void> {
  while (!opts.signal.aborted) {
    const hosts = await opts.readHosts();
    if (hosts.isOk) {
      opts.directory.update(hosts.value);
    }
    await opts.timer.sleep({ delayMs: HOST_LIST_INTERVAL_MS, signal: opts.signal });
  }
}
