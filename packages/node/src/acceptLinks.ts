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
  /** Every connection is one task of this group. */
  readonly tasks: TaskGroup;
  /** Serves one proved link until it ends. */
  readonly serve: (proved: AuthenticatedLink) => Promise<void>;
}

/** A listening node port. */
export interface LinkServer {
  readonly port: number;
  /** Stops accepting; open links stay. */
  readonly stop: () => void;
}

/** Connections that have not proved themselves yet, at most. */
const MAX_UNPROVED_LINKS = 256;

/** Listens for links from other nodes and runs one task for each. */
export async function acceptLinks(opts: AcceptLinksOptions): Promise<LinkServer> {
  let unproved = 0;
  const server = createServer({ noDelay: true }, (socket) => {
    if (unproved >= MAX_UNPROVED_LINKS) {
      socket.destroy();
      return;
    }
    opts.tasks.start(() => serveConnection(socket));
  });
  server.listen(opts.port, opts.address);
  await once(server, 'listening');
  const bound = server.address();
  return {
    port: typeof bound === 'object' && bound ? bound.port : opts.port,
    stop: () => {
      server.close();
    },
  };

  async function serveConnection(socket: Socket): Promise<void> {
    const link = SocketLink.create({ socket });
    try {
      unproved += 1;
      const peer = await performHandshake({ link, ...opts }).finally(() => {
        unproved -= 1;
      });
      if (peer.isErr) {
        opts.logger({ message: `Refused a link: ${peer.error.message}.` });
        return;
      }
      await opts.serve({ link, peer: peer.value });
    } finally {
      link.close();
    }
  }
}
