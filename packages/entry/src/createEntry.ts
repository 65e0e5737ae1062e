import {
  type Call,
  type CallResponse,
  OrganisationLimiter,
  type WritePart,
} from '@galenatiller/caller';
import { indexRules } from '@galenatiller/configuration';
import { CrashHistory } from '@galenatiller/engine';
import type { GalenatillerError } from '@galenatiller/error';
import { createLogger } from '@galenatiller/logger';
import {
  type ConfigurationExchange,
  NodeGossip,
  type NodeFrame,
  type NodeIdentity,
  type AuthenticatedLink,
  Shutdown,
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

/** Options of {@link createEntry}. Access to each peer is passed in as a function. */
export interface CreateEntryOptions {
  readonly identity: NodeIdentity;
  readonly timer: TimerService;
  readonly policy: EntryPolicy;
  /** Time from the start of a graceful shutdown until the process ends. */
  readonly stopLimitMs: number;
  /** Maximum number of gates per target group to keep links to. */
  readonly linksPerGroup: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Records a timeline event. */
  readonly record: (event: RecordOptions) => void;
  /** Called after each call ends. */
  readonly onCallEnded?: (ended: EndedCall) => void;
  readonly openLink: (host: Host) => Promise<Result<AuthenticatedLink, GalenatillerError>>;
  /** Reports every new configuration until the signal aborts. */
  readonly followConfiguration: (
    onConfiguration: (configuration: Configuration) => void,
    signal: AbortSignal,
  ) => Promise<void>;
  /** Exchanges the configuration with other nodes. */
  readonly exchange: ConfigurationExchange;
  /** Reports every new host list until the signal aborts. */
  readonly followHosts: (
    onHosts: (hosts: readonly Host[]) => void,
    signal: AbortSignal,
  ) => Promise<void>;
}

/** A running entry. */
export interface Entry {
  readonly runCall: (
    call: Call,
    writePart: WritePart,
  ) => Promise<Result<CallResponse, GalenatillerError>>;
  readonly readConfiguration: () => Configuration;
  readonly directory: GateDirectory;
  readonly versions: VersionMoves;
  /** False until the first configuration arrives, and during shutdown. */
  readonly isReady: () => boolean;
  /** When the calls in progress have to be answered in a shutdown. */
  readonly shutdown: Shutdown;
  /** Marks the entry as not ready. */
  readonly beginShutdown: () => void;
  /** Closes all links. Call it once the running calls have ended. */
  readonly finishShutdown: () => Promise<void>;
}

/** Creates an entry. Starts a task each for the configuration, the host list and every gate. */
export function createEntry(opts: CreateEntryOptions): Entry {
  const logger = createLogger('entry');
  const onFailure = (error: unknown): void =>
    logger({ message: `Background task failed: ${String(error)}.` });
  const peerTasks = TaskGroup.create({ onFailure });
  const shutdown = Shutdown.create({ timer: opts.timer, limitMs: opts.stopLimitMs });
  const shutdownFinishing = new AbortController();
  let entryCount = 1;
  let configuration = indexRules({ revision: 0, rules: [] });
  const readConfiguration = (): Configuration => configuration;
  const crashes = CrashHistory.create({ ...opts, share: (items) => gossip.shareEvidence(items) });
  const versions = VersionMoves.create({
    wallMs: () => opts.timer.wallMs(),
    random: opts.random,
    broadcast: (notices) => gossip.shareStoppedVersions(notices),
  });
  const gossip = createGossip(opts, crashes, versions, (frame) => {
    directory.links.forEach((gate) => gate.send(frame));
  });
  const directory = createDirectory({ ...opts, gossip, tasks: peerTasks, readConfiguration });

  peerTasks.start(() =>
    opts.followConfiguration((next) => {
      configuration = next;
      opts.record({ kind: 'configuration-in-force', subject: String(next.revision) });
    }, shutdownFinishing.signal),
  );
  peerTasks.start(() =>
    opts.followHosts((hosts) => {
      entryCount = hosts.filter(isLiveEntry).length;
      directory.update(hosts);
    }, shutdownFinishing.signal),
  );

  const runCallOptions = {
    ...opts,
    readConfiguration,
    directory,
    crashes,
    versions,
    retryBudget: RetryBudget.create(opts),
    stageDurations: SmoothedDurations.create(),
    limiter: createLimiter(opts, readConfiguration, () => entryCount),
    ownAvailabilityZone: opts.identity.availabilityZone,
    shutdown,
  };
  return {
    runCall: (call, writePart) => runCall(runCallOptions, call, writePart),
    readConfiguration,
    directory,
    versions,
    shutdown,
    isReady: () => !shutdown.hasBegun && configuration.revision > 0,
    beginShutdown: () => shutdown.begin(),
    finishShutdown: async () => {
      shutdown.finish();
      shutdownFinishing.abort();
      directory.closeLinks();
      await peerTasks.drain();
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

function createGossip(
  opts: CreateEntryOptions,
  crashes: CrashHistory,
  versions: VersionMoves,
  sendToAll: (frame: NodeFrame) => void,
): NodeGossip {
  return NodeGossip.create({
    ...crashes.shared(),
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
  readonly gossip: NodeGossip;
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
