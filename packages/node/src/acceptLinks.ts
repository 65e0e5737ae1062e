import { once } from 'node:events';
import { createServer, type Socket } from 'node:net';

import type { Logger } from '@galenatiller/logger';
import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';

import type { NodeIdentity } from './frames.js';
import { performHandshake } from './handshake.js';
import { SocketLink } from './link.js';
import type { AuthenticatedLink } from './openLink.js';

/** Options of {@link acceptLinks}. */
export interface AcceptLinksOptions {
  readonly address: string;
  readonly port: number;
  readonly identity: NodeIdentity;
  readonly keys: readonly string[];
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Each connection is a task of this group. */
  readonly tasks: TaskGroup;
  /** Serves one authenticated link until it ends. */
  readonly serve: (authenticated: AuthenticatedLink) => Promise<void>;
}

/** A server that accepts links on the node port. */
export interface LinkServer {
  readonly port: number;
  /** Stops accepting connections; open links stay open. */
  readonly stop: () => void;
}

/** Maximum number of connections whose handshake is not complete. */
const MAX_UNAUTHENTICATED_LINKS = 256;

/** Accepts links from other nodes and runs one task for each. */
export async function acceptLinks(opts: AcceptLinksOptions): Promise<LinkServer> {
  let unauthenticatedCount = 0;
  const server = createServer({ noDelay: true }, (socket) => {
    if (unauthenticatedCount >= MAX_UNAUTHENTICATED_LINKS) {
      socket.destroy();
      return;
    }
    opts.tasks.start(() => serveConnection(socket));
  });
  server.listen(opts.port, opts.address);
  await once(server, 'listening');
  const boundAddress = server.address();
  return {
    port: typeof boundAddress === 'object' && boundAddress ? boundAddress.port : opts.port,
    stop: () => {
      server.close();
    },
  };

  async function serveConnection(socket: Socket): Promise<void> {
    const link = SocketLink.create({ socket });
    try {
      unauthenticatedCount += 1;
      const peer = await performHandshake({ link, ...opts }).finally(() => {
        unauthenticatedCount -= 1;
      });
      if (peer.isErr) {
        opts.logger({ message: `Rejected a link: ${peer.error.message}.` });
        return;
      }
      await opts.serve({ link, peer: peer.value });
    } finally {
      link.close();
    }
  }
}
