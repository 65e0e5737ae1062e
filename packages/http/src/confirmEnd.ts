import type { Socket } from 'node:net';

import { whenPolled } from '@galenatiller/tasks';

/** Options of {@link confirmEnd}. */
export interface ConfirmEndOptions {
  readonly socket: Socket;
  /** Time for which the connection has to stand after its end; asked once all data before it has been read. */
  readonly holdMs: () => number;
  readonly sleep: (opts: { readonly delayMs: number }) => Promise<void>;
}

/**
 * Lets the end of a socket through only if the connection stands after it, with all that was written before
 * accepted by the kernel. Node.js reports an ordinary end when a reset arrives together with data, and when
 * a write has already consumed the error of the reset. An empty write sends nothing and fails then, so that the
 * socket closes with an error and never ends.
 */
export function confirmEnd(opts: ConfirmEndOptions): void {
  const { socket } = opts;
  const push = socket.push.bind(socket);
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (chunk !== null) {
      return push(chunk, encoding);
    }
    whenConfirmed(opts).then(
      (isConfirmed) => isConfirmed && push(null),
      (error: unknown) => socket.destroy(error instanceof Error ? error : undefined),
    );
    return false;
  };
}

async function whenConfirmed({ socket, holdMs, sleep }: ConfirmEndOptions): Promise<boolean> {
  if (!(await doesStand(socket))) {
    return false;
  }
  await whenPolled();
  const delayMs = holdMs();
  if (delayMs === 0) {
    return true;
  }
  await sleep({ delayMs });
  return doesStand(socket);
}

function doesStand(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write('', (error) => resolve(!error));
  });
}
