/** Where a peer listens. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const HOST_AND_PORT = /^([\w.-]{1,253}):(\d{1,5})$/;
const MAX_PORT = 65_535;

/**
 * Parses HOST:PORT; undefined for any other text, and for a port that nothing can listen on, for which
 * the socket functions of Node.js throw.
 */
export function parseAddress(text: string): SocketAddress | undefined {
  const [, host = '', digits = ''] = HOST_AND_PORT.exec(text) ?? [];
  const port = Number(digits);
  return port > 0 && port <= MAX_PORT ? { host, port } : undefined;
}
