import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';

/** Finds ports on loopback that are free now, all different. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map(async (server) => {
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      return (server.address() as AddressInfo).port;
    }),
  );
  await Promise.all(
    servers.map((server) => {
      server.close();
      return once(server, 'close');
    }),
  );
  return ports;
}
