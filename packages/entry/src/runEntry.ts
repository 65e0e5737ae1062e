import { randomUUID } from 'node:crypto';

import {
  type CallerFigures,
  type CallerLimit,
  type CallerServer,
  computeCallerFigures,
  serveCallers,
} from '@galenatiller/caller';
import { createLogger } from '@galenatiller/logger';
import { type NodeIdentity, openLink } from '@galenatiller/node';
import type { EntrySettings } from '@galenatiller/settings';
import { TaskGroup, whenAborted } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';

import { createEntry, type CreateEntryOptions, type Entry } from './createEntry.js';
import { OrganisationDirectory } from './organisationDirectory.js';
import type { EndedCall } from './runCall.js';
import { shutDownEntry } from './shutDownEntry.js';

/** Options of {@link runEntry}. */
export interface RunEntryOptions {
  readonly settings: EntrySettings;
  readonly timer: TimerService;
  /** Starts a graceful shutdown when aborted. */
  readonly stop: AbortSignal;
  readonly policy: CreateEntryOptions['policy'];
  readonly random: () => number;
  readonly record: CreateEntryOptions['record'];
  /** Called for each connection or body that a limit for callers ended. */
  readonly onLimit?: (limit: CallerLimit) => void;
  readonly onCallEnded?: (ended: EndedCall) => void;
  readonly followConfiguration: CreateEntryOptions['followConfiguration'];
  readonly exchange: CreateEntryOptions['exchange'];
  readonly followHosts: CreateEntryOptions['followHosts'];
  /** Called once the caller port is listening. */
  readonly onListening?: (listening: ListeningEntry) => void;
}

/** A listening entry, as passed to observers. */
export interface ListeningEntry {
  readonly port: number;
  readonly identity: NodeIdentity;
  readonly entry: Entry;
  /** Number of calls in progress. */
  readonly countActiveCalls: () => number;
}

/** Runs an entry until its graceful shutdown is complete. */
export async function runEntry(opts: RunEntryOptions): Promise<void> {
  const { settings, timer } = opts;
  const logger = createLogger('entry');
  const identity: NodeIdentity = {
    nodeName: settings.nodeName,
    role: 'entry',
    availabilityZone: settings.availabilityZone,
    incarnation: randomUUID(),
  };
  const keys = settings.linkKeys;
  const entry = createEntry({
    ...opts,
    identity,
    linksPerGroup: settings.linksPerGroup,
    stopLimitMs: settings.stopLimitMs,
    openLink: (host) => openLink({ address: host.address, port: host.port, identity, keys, timer }),
  });
  const calls = TaskGroup.create({
    onFailure: (error) => {
      logger({ message: `Call failed: ${String(error)}.` });
    },
  });
  const server = await openCallerPort(opts, entry, calls);
  opts.onListening?.({ port: server.port, identity, entry, countActiveCalls: () => calls.size });
  await whenAborted(opts.stop);
  logger({ message: 'Graceful shutdown started.' });
  await shutDownEntry({ entry, calls, timer, stopAccepting: server.stop });
  logger({ message: 'Graceful shutdown complete.' });
}

/** Memory that the process takes under ordinary calls. */
const BASE_MEMORY_MB = 176;

/** Derives the limits for callers from the settings of an entry. */
export function computeEntryFigures(settings: EntrySettings): CallerFigures {
  return computeCallerFigures({ ...settings, baseMb: BASE_MEMORY_MB });
}

function openCallerPort(
  { settings, timer, onLimit = () => {} }: RunEntryOptions,
  entry: Entry,
  tasks: TaskGroup,
): Promise<CallerServer> {
  const organisations = OrganisationDirectory.create(entry);
  return serveCallers({
    address: settings.callerAddress,
    port: settings.callerPort,
    logger: createLogger('caller'),
    tasks,
    timer,
    figures: computeEntryFigures(settings),
    onLimit,
    findOrganisation: (keyHash) => organisations.findByKeyHash(keyHash),
    createRequestId: randomUUID,
    runCall: entry.runCall,
    isReady: entry.isReady,
    onWorkEnd: (notify) => entry.shutdown.onWorkEnd(notify),
  });
}
