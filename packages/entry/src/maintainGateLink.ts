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
  readonly news: NodeGossip;
  readonly exchange: ConfigurationExchange;
  readonly record: (event: RecordOptions) => void;
  /** Aborts when the gate is not wanted any more. */
  readonly signal: AbortSignal;
}

/** First wait after a link could not be opened; doubles up to the longest. */
const FIRST_BACKOFF_MS = 50;
const LONGEST_BACKOFF_MS = 2_000;

/** Time between pings on a link. */
const PING_INTERVAL_MS = 1_000;

/** A gate that has been silent for so long is taken for paused or cut off. */
const SILENCE_LIMIT_MS = 3_500;

/** Keeps the link to one gate: opens it, reads it to its end, and opens it again. */
export async function maintainGateLink(opts: MaintainGateLinkOptions): Promise<void> {
  const { gate, timer, logger, signal } = opts;
  let backoffMs = FIRST_BACKOFF_MS;
  while (!signal.aborted) {
    const opened = await opts.openLink(gate.host);
    if (opened.isErr) {
      logger({ message: `Could not open the link to ${gate.host.name}: ${opened.error.message}.` });
      await timer.sleep({ delayMs: backoffMs * (0.5 + opts.random()), signal });
      backoffMs = Math.min(backoffMs * 2, LONGEST_BACKOFF_MS);
      continue;
    }
    backoffMs = FIRST_BACKOFF_MS;
    logger({ message: `Opened the link to ${gate.host.name}.` });
    await readLink(opts, opened.value.link);
    logger({ message: `The link to ${gate.host.name} has ended.` });
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
      if (gate.silenceMs > SILENCE_LIMIT_MS) {
        close();
        return;
      }
      gate.send({ kind: 'ping', revision: opts.readRevision() });
    },
  });
  gate.onOpened(link);
  opts.exchange.addLink(link);
  opts.record({ kind: 'link-opened', subject: gate.host.name });
  opts.news.initialFrames().forEach((frame) => gate.send(frame));
  try {
    for await (const frame of link.read()) {
      gate.handleFrame(frame);
      opts.news.handleFrame(frame);
      opts.exchange.handleFrame(link, frame);
    }
  } catch (error) {
    opts.logger({ message: `Lost the link to ${gate.host.name}: ${String(error)}.` });
  } finally {
    cancelPings();
    signal.removeEventListener('abort', close);
    gate.onClosed();
    opts.exchange.removeLink(link);
    opts.record({ kind: 'link-closed', subject: gate.host.name });
    link.close();
  }
}
