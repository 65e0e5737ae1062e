import { connect, type Socket } from 'node:net';

import type { TimerService } from '@galenatiller/timer';

const CONNECT_TIMEOUT_MS = 400;

/** Connects to IP:PORT; undefined if that fails. */
export function openSocket(opts: {
  readonly timer: TimerService;
  readonly address: string;
}): Promise<Socket | undefined> {
  const [host = '', port = ''] = opts.address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port), noDelay: true });
    const cancelTimeout = opts.timer.after({
      delayMs: CONNECT_TIMEOUT_MS,
      notify: () => socket.destroy(new Error('the connection timed out')),
    });
    socket.once('connect', () => {
      cancelTimeout();
      socket.removeAllListeners('error');
      resolve(socket);
    });
    socket.once('error', () => {
      cancelTimeout();
      resolve(undefined);
    });
  });
}
