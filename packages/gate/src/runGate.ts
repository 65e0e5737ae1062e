import { randomUUID } from 'node:crypto';

import { createLogger } from '@galenatiller/logger';
import { acceptLinks, type NodeIdentity } from '@galenatiller/node';
import type { GateSettings } from '@galenatiller/settings';
import { TaskGroup, whenAborted } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';

import { createGate, type CreateGateOptions, type Gate } from './createGate.js';

/** Options of {@link runGate}. */
export interface RunGateOptions {
  readonly settings: GateSettings;
  readonly timer: TimerService;
  readonly random: CreateGateOptions['random'];
  /** Starts a graceful shutdown when aborted. */
  readonly stop: AbortSignal;
  readonly runners: CreateGateOptions['runners'];
  readonly probeTarget: CreateGateOptions['probeTarget'];
  readonly watchTarget: CreateGateOptions['watchTarget'];
  readonly policy: CreateGateOptions['policy'];
  readonly record: CreateGateOptions['record'];
  readonly runRecords: CreateGateOptions['runRecords'];
  readonly exchange: CreateGateOptions['exchange'];
  readonly followConfiguration: CreateGateOptions['followConfiguration'];
  /** Called once the link port is listening. */
  readonly onListening?: (listening: ListeningGate) => void;
}

/** A listening gate, as passed to observers. */
export interface ListeningGate {
  readonly port: number;
  readonly identity: NodeIdentity;
  readonly gate: Gate;
}

/** Runs a gate until its graceful shutdown is complete. */
export async function runGate(opts: RunGateOptions): Promise<void> {
  const { settings, timer } = opts;
  const logger = createLogger('gate');
  const identity: NodeIdentity = {
    nodeName: settings.nodeName,
    role: 'gate',
    availabilityZone: settings.availabilityZone,
    incarnation: randomUUID(),
  };
  const gate = createGate({
    ...opts,
    availabilityZone: settings.availabilityZone,
    targets: settings.targets,
    stopLimitMs: settings.stopLimitMs,
  });
  const links = TaskGroup.create({
    onFailure: (error) => {
      logger({ message: `Link failed: ${String(error)}.` });
    },
  });
  const server = await acceptLinks({
    address: settings.linkAddress,
    port: settings.linkPort,
    identity,
    keys: settings.linkKeys,
    timer,
    logger: createLogger('link'),
    tasks: links,
    serve: gate.serveLink,
  });
  opts.onListening?.({ port: server.port, identity, gate });
  await whenAborted(opts.stop);
  logger({ message: 'Graceful shutdown started.' });
  await gate.stop();
  server.stop();
  await links.drain();
  logger({ message: 'Graceful shutdown complete.' });
}
