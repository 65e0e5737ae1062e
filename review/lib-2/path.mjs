// A path between a router and the store, which can be cut: bytes of both directions are then lost in silence.
import { connect, createServer } from 'node:net';

export async function openPath(host, target) {
  const [targetHost, targetPort] = target.split(':');
  let isCut = false;
  let bytesFromTarget = 0;
  const sockets = new Set();
  const server = createServer((near) => {
    near.on('error', () => {});
    sockets.add(near);
    near.once('close', () => sockets.delete(near));
    if (isCut) {
      near.resume();
      return;
    }
    const far = connect(Number(targetPort), targetHost);
    far.on('error', () => near.destroy());
    sockets.add(far);
    far.once('close', () => sockets.delete(far));
    near.on('data', (bytes) => isCut || far.write(bytes));
    far.on('data', (bytes) => {
      bytesFromTarget += bytes.length;
      if (!isCut) near.write(bytes);
    });
    near.on('close', () => far.destroy());
    far.on('close', () => isCut || near.destroy());
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    /** Bytes that came from the target so far. */
    bytes: () => bytesFromTarget,
    cut: () => {
      isCut = true;
    },
    /** Ends the cut; what was open during it is reset, and new connections work. */
    heal: () => {
      isCut = false;
      sockets.forEach((socket) => socket.destroy());
    },
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
