/** A proxy on the path to one address, which can cut the path: nothing passes then, and nothing is lost. */
import { connect, createServer } from 'node:net';

/** One direction of a connection; what is held passes once the path is whole again. */
class Pipe {
  held = [];

  isEnded = false;

  constructor(from, to, isCut) {
    this.to = to;
    this.isCut = isCut;
    from.on('data', (bytes) => {
      this.held.push(bytes);
      this.flush();
    });
    from.once('end', () => {
      this.isEnded = true;
      this.flush();
    });
  }

  flush() {
    if (this.isCut()) {
      return;
    }
    this.held.splice(0).forEach((bytes) => this.to.write(bytes));
    if (this.isEnded) {
      this.to.end();
    }
  }
}

/** Starts a proxy; `cut` and `heal` change the path. */
export function startCutProxy({ host, port, targetHost, targetPort }) {
  const pipes = new Set();
  const waiting = [];
  let isCut = false;
  const open = (socket) => {
    const target = connect({ host: targetHost, port: targetPort, allowHalfOpen: true });
    const both = [new Pipe(socket, target, () => isCut), new Pipe(target, socket, () => isCut)];
    both.forEach((pipe) => pipes.add(pipe));
    socket.on('error', () => target.destroy());
    target.on('error', () => socket.destroy());
    socket.once('close', () => {
      target.destroy();
      both.forEach((pipe) => pipes.delete(pipe));
    });
  };
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    if (isCut) {
      socket.on('error', () => {});
      waiting.push(socket);
    } else {
      open(socket);
    }
  });
  server.listen(port, host);
  return {
    cut: () => {
      isCut = true;
    },
    heal: () => {
      isCut = false;
      waiting.splice(0).forEach(open);
      pipes.forEach((pipe) => pipe.flush());
    },
  };
}
