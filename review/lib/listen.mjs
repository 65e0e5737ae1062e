import { once } from 'node:events';
import { createServer } from 'node:net';

/** Listens at a free port of a loopback address, and returns IP:PORT. */
export async function listen(server, host) {
  server.listen(0, host);
  await once(server, 'listening');
  return `${host}:${server.address().port}`;
}

/** Finds ports of a loopback address that are free now. */
export async function findFreePorts(host, count) {
  const servers = Array.from({ length: count }, () => createServer());
  const addresses = await Promise.all(servers.map((server) => listen(server, host)));
  await Promise.all(
    servers.map(async (server) => {
      server.close();
      await once(server, 'close');
    }),
  );
  return addresses.map((address) => Number(address.split(':')[1]));
}
