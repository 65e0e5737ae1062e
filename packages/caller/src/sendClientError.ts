import type { Socket } from 'node:net';

/** Options of {@link sendClientError}. */
export interface SendClientErrorOptions {
  readonly error: NodeJS.ErrnoException;
  readonly socket: Socket;
  /** Whether requests of the connection are in progress. */
  readonly hasRequests: boolean;
}

const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const OTHER_STATUS_LINE = '400 Bad Request';

/**
 * Ends a connection whose bytes are no request. A status is sent only if no request is in progress: the
 * caller would take it for the response to that one, which may have run.
 */
export function sendClientError({ error, socket, hasRequests }: SendClientErrorOptions): void {
  if (hasRequests || !socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const statusLine = STATUS_LINES[error.code ?? ''] ?? OTHER_STATUS_LINE;
  socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  socket.destroySoon();
}
