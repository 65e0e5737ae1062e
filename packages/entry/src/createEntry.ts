import {
  type Call,
  type CallResponse,
  OrganisationLimiter,
  type WritePart,
} from '@galenatiller/caller';
import { indexRules } from '@galenatiller/configuration';
import { CrashRegistry } from '@galenatiller/engine';
import type { GalenatillerError } from '@galenatiller/error';
import { createLogger } from '@galenatiller/logger';
import {
  type ConfigurationExchange,
  NodeGossip,
  type NodeFrame,
  type NodeIdentity,
  type AuthenticatedLink,
} from '@galenatiller/node';
import { TaskGroup } from '@galenatiller/tasks';
import type { RecordOptions } from '@galenatiller/timeline';
import { SmoothedDurations, type TimerService } from '@galenatiller/timer';
import type { Configuration, Host, LimitRule } from '@galenatiller/types';
import type { Result } from 'true-myth';

import { maintainGateLink } from './maintainGateLink.js';
import { GateDirectory } from './gateDirectory.js';
import type { EntryPolicy } from './policy.js';
import { RetryBudget } from './retryBudget.js';
import { type EndedCall, runCall } from './runCall.js';
import { VersionMoves } from './versionMoves.js';

/** Options of {@link createEntry}; every peer is reached by a function. */
export interface CreateEntryOptions {
  readonly identity: NodeIdentity;
  readonly timer: TimerService;
  readonly policy: EntryPolicy;
  /** Most gates of one target group that links are kept to. */
  readonly linksPerGroup: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Records an event of the time line. */
  readonly record: (event: RecordOptions) => void;
  /** Told of each call that has ended. */
  readonly onCallEnded?: (ended: EndedCall) => void;
  readonly openLink: (host: Host) => Promise<Result<AuthenticatedLink, GalenatillerError>>;
  /** Follows the configuration until the signal aborts. */
  readonly followConfiguration: (
    onConfiguration: (configuration: Configuration) => void,
    signal: AbortSignal,
  ) => Promise<void>;
  /** Shares the configuration with other nodes. */
  readonly exchange: ConfigurationExchange;
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
    takePart: WritePart,
  ) => Promise<Result<CallResponse, GalenatillerError>>;
  readonly readConfiguration: () => Configuration;
  readonly directory: GateDirectory;
  readonly versions: VersionMoves;
  /** False before the first configuration and during shutdown. */
  readonly isReady: () => boolean;
  /** Starts refusing calls. */
  readonly beginShutdown: () => void;
  /** Ends every link; to be called when the running calls have ended. */
  readonly finishShutdown: () => Promise<void>;
}

/** Starts the tasks of an entry: one for the configuration, the host list and each gate. */
export function createEntry(opts: CreateEntryOptions): Entry {
  const logger = createLogger('entry');
  const onFailure = (error: unknown): void =>
    logger({ message: `A task failed: ${String(error)}.` });
  const peers = TaskGroup.create({ onFailure });
  const stopping = new AbortController();
  const ending = new AbortController();
  let entryCount = 1;
  let configuration = indexRules({ revision: 0, rules: [] });
  const readConfiguration = (): Configuration => configuration;
  const crashes = CrashRegistry.create({ timer: opts.timer });
  const versions = VersionMoves.create({
    wallMs: () => opts.timer.wallMs(),
    random: opts.random,
    broadcast: (notices) => news.shareStoppedVersions(notices),
  });
  const news = createNews(opts, crashes, versions, (frame) => {
    directory.links.forEach((gate) => gate.send(frame));
  });
  const directory = createDirectory({ ...opts, news, tasks: peers, readConfiguration });

  peers.start(() =>
    opts.followConfiguration((next) => {
      configuration = next;
      opts.record({ kind: 'configuration-in-force', subject: String(next.revision) });
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
    versions,
    retryBudget: RetryBudget.create(),
    stageTimes: SmoothedDurations.create(),
    limiter: createLimiter(opts, readConfiguration, () => entryCount),
    ownAvailabilityZone: opts.identity.availabilityZone,
  };
  return {
    runCall: (call, takePart) => runCall(shared, call, takePart),
    readConfiguration,
    directory,
    versions,
    isReady: () => !stopping.signal.aborted && configuration.revision > 0,
    beginShutdown: () => {
      stopping.abort();
    },
    finishShutdown: async () => {
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

function createLimiter(
  { timer }: CreateEntryOptions,
  readConfiguration: () => Configuration,
  countEntries: () => number,
): OrganisationLimiter {
  const findLimit = (organisation: string): LimitRule | undefined =>
    readConfiguration().limits.get(organisation);
  return OrganisationLimiter.create({ timer, findLimit, countEntries });
}

function createNews(
  opts: CreateEntryOptions,
  crashes: CrashRegistry,
  versions: VersionMoves,
  sendToAll: (frame: NodeFrame) => void,
): NodeGossip {
  return NodeGossip.create({
    crashes: { all: () => crashes.records, merge: (records) => crashes.merge(records) },
    versions: { all: () => versions.notices, merge: (notices) => versions.merge(notices) },
    sendToAll,
    onVersionsStopped: (notices) => {
      notices.forEach(({ targetGroup, version, reason }) => {
        const subject = `${targetGroup} ${version}`;
        opts.record({ kind: 'version-stopped', subject, detail: reason });
      });
    },
  });
}

interface CreateDirectoryOptions extends CreateEntryOptions {
  readonly news: NodeGossip;
  readonly tasks: TaskGroup;
  readonly readConfiguration: () => Configuration;
}

function createDirectory(opts: CreateDirectoryOptions): GateDirectory {
  const logger = createLogger('link');
  const readRevision = (): number => opts.readConfiguration().revision;
  return GateDirectory.create({
    timer: opts.timer,
    tasks: opts.tasks,
    entryName: opts.identity.nodeName,
    linksPerGroup: opts.linksPerGroup,
    maintainLink: (gate, signal) =>
      maintainGateLink({ ...opts, gate, logger, readRevision, signal }),
  });
}
