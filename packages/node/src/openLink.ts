import { connect, type Socket } from 'node:net';

import { HANDSHAKE_TIMEOUT_MS } from '@galenatiller/constants';
import { GalenatillerError } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { NodeIdentity } from './frames.js';
import { performHandshake } from './handshake.js';
import { type Link, SocketLink } from './link.js';

/** Options of {@link openLink}. */
export interface OpenLinkOptions {
  readonly address: string;
  readonly port: number;
  readonly identity: NodeIdentity;
  readonly keys: readonly string[];
  readonly timer: TimerService;
}

/** A link whose peer has proved itself. */
export interface AuthenticatedLink {
  readonly link: Link;
  readonly peer: NodeIdentity;
}

/** Connects to a node and proves both sides. */
export async function openLink(
  opts: OpenLinkOptions,
): Promise<Result<AuthenticatedLink, GalenatillerError>> {
  const socket = await connectSocket(opts);
  if (socket.isErr) {
    return Result.err(socket.error);
  }
  const link = SocketLink.create({ socket: socket.value });
  const peer = await performHandshake({ link, ...opts });
  if (peer.isErr) {
    link.close();
    return Result.err(peer.error);
  }
  return Result.ok({ link, peer: peer.value });
}

function connectSocket(opts: OpenLinkOptions): Promise<Result<Socket, GalenatillerError>> {
  return new Promise((resolve) => {
    const socket = connect({ host: opts.address, port: opts.port, noDelay: true });
    const cancelLimit = opts.timer.after({
      delayMs: HANDSHAKE_TIMEOUT_MS,
      notify: () => {
        socket.destroy(new Error('timed out'));
      },
    });
    socket.once('connect', () => {
      cancelLimit();
      socket.removeAllListeners('error');
      resolve(Result.ok(socket));
    });
    socket.once('error', (error) => {
      cancelLimit();
      const detail = `${opts.address}:${opts.port}: ${error.message}`;
      resolve(Result.err(GalenatillerError.create({ name: 'link-unopened', detail })));
    });
  });
}
