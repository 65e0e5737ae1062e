import type { GalenatillerError } from '@galenatiller/error';
import type { Logger } from '@galenatiller/logger';
import type {
  ConfigurationExchange,
  NodeGossip,
  Link,
  AuthenticatedLink,
} from '@galenatiller/node';
import type { RecordOptions } from '@galenatiller/timeline';
import type { TimerService } from '@galenatiller/timer';
import type { Host } from '@galenatiller/types';
import type { Result } from 'true-myth';

import type { GateLink } from './gateLink.js';

/** Options of {@link maintainGateLink}. */
export interface MaintainGateLinkOptions {
  readonly gate: GateLink;
  readonly openLink: (host: Host) => Promise<Result<AuthenticatedLink, GalenatillerError>>;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly random: () => number;
  readonly readRevision: () => number;
  readonly gossip: NodeGossip;
  readonly exchange: ConfigurationExchange;
  readonly record: (event: RecordOptions) => void;
  /** Aborts when the gate is no longer needed. */
  readonly signal: AbortSignal;
}

/** Delay after the first failure to open a link; doubles up to the maximum. */
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;

/** Time between pings on a link. */
const PING_INTERVAL_MS = 1_000;

/** A gate that is silent for longer is assumed to be paused or unreachable. */
const MAX_SILENCE_MS = 3_500;

/** Maintains the link to one gate: opens it, reads frames until it closes, and reopens it. */
export async function maintainGateLink(opts: MaintainGateLinkOptions): Promise<void> {
  const { gate, timer, logger, signal } = opts;
  let backoffMs = MIN_BACKOFF_MS;
  while (!signal.aborted) {
    const opened = await opts.openLink(gate.host);
    if (opened.isErr) {
      logger({ message: `Could not open link to ${gate.host.name}: ${opened.error.message}.` });
      await timer.sleep({ delayMs: backoffMs * (0.5 + opts.random()), signal });
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
      continue;
    }
    backoffMs = MIN_BACKOFF_MS;
    logger({ message: `Opened link to ${gate.host.name}.` });
    await readLink(opts, opened.value.link);
    logger({ message: `Link to ${gate.host.name} closed.` });
    await timer.sleep({ delayMs: backoffMs * (0.5 + opts.random()), signal });
  }
}

async function readLink(opts: MaintainGateLinkOptions, link: Link): Promise<void> {
  const { gate, timer, signal } = opts;
  const close = (): void => {
    link.close();
  };
  signal.addEventListener('abort', close, { once: true });
  const cancelPings = timer.every({
    intervalMs: PING_INTERVAL_MS,
    notify: () => {
      if (gate.silenceMs > MAX_SILENCE_MS) {
        close();
        return;
      }
      gate.send({ kind: 'ping', revision: opts.readRevision() });
    },
  });
  gate.onOpened(link);
  opts.exchange.addLink(link);
  opts.record({ kind: 'link-opened', subject: gate.host.name });
  opts.gossip.initialFrames().forEach((frame) => gate.send(frame));
  try {
    for await (const frame of link.read()) {
      gate.handleFrame(frame);
      opts.gossip.handleFrame(frame);
      opts.exchange.handleFrame(link, frame);
    }
  } catch (error) {
    opts.logger({ message: `Lost link to ${gate.host.name}: ${String(error)}.` });
  } finally {
    cancelPings();
    signal.removeEventListener('abort', close);
    gate.onClosed();
    opts.exchange.removeLink(link);
    opts.record({ kind: 'link-closed', subject: gate.host.name });
    link.close();
  }
}
