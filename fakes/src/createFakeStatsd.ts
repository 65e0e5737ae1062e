import { createSocket } from 'node:dgram';
import { once } from 'node:events';

import { FakeServer, sendJson } from './fakeServer.js';

/** Options of {@link createFakeStatsd}. */
export interface FakeStatsdOptions {
  /** UDP port, and TCP port of `GET /lines`; 0 for any free one. */
  readonly port: number;
}

/** A fake statsd server that runs. */
export interface FakeStatsd {
  readonly port: number;
  readonly url: string;
  /** The newest lines, in order of arrival. */
  readonly lines: readonly string[];
  readonly close: () => Promise<void>;
}

/** Lines that a fake statsd server keeps. */
const MAX_LINES = 10_000;

/** Starts a fake statsd server that keeps the lines it gets. */
export async function createFakeStatsd(opts: FakeStatsdOptions): Promise<FakeStatsd> {
  const lines: string[] = [];
  const server = await FakeServer.listen({
    port: opts.port,
    handle: ({ response }) => {
      sendJson(response, { status: 200, body: { lines } });
      return Promise.resolve();
    },
  });
  const socket = createSocket('udp4');
  socket.on('message', (message) => {
    lines.push(
      ...message
        .toString('utf8')
        .split('\n')
        .filter((line) => line !== ''),
    );
    lines.splice(0, Math.max(0, lines.length - MAX_LINES));
  });
  socket.bind(server.port, '127.0.0.1');
  await once(socket, 'listening');
  return {
    port: server.port,
    url: server.url,
    lines,
    close: async () => {
      socket.close();
      await server.stop();
    },
  };
}
