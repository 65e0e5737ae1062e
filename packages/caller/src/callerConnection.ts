import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ConnectionState } from './chooseConnections.js';

/** A connection of a caller, and its requests in progress. */
export interface Connection extends ConnectionState {
  readonly socket: Socket;
  /** Responses in progress, and what to call when the caller is gone or the response has closed. */
  readonly responses: Map<ServerResponse, () => void>;
  requests: number;
  idleSinceMs: number;
  /** Bytes read when the last request ended. */
  readBytes: number;
  /** Bytes that the caller had taken when it was last seen to read. */
  takenBytes: number;
  unreadSinceMs: number;
  isPaused: boolean;
}

/** Creates the state of a connection that has just opened. */
export function createConnection(socket: Socket, nowMs: number): Connection {
  return {
    socket,
    responses: new Map(),
    requests: 0,
    idleSinceMs: nowMs,
    readBytes: 0,
    takenBytes: 0,
    unreadSinceMs: nowMs,
    isPaused: false,
    get isReceiving() {
      const [response] = this.responses.keys();
      return this.requests === 1 && response?.req.complete === false;
    },
    get headBytes() {
      return this.requests === 0 ? socket.bytesRead - this.readBytes : 0;
    },
    get unreadBytes() {
      return [...this.responses.keys()].reduce((sum, response) => sum + response.writableLength, 0);
    },
  };
}

/** Records whether the caller has taken anything of its response. */
export function recordProgress(checked: Connection, nowMs: number): void {
  const connection = checked;
  const { socket } = connection;
  const takenBytes = socket.bytesWritten - socket.writableLength;
  if (takenBytes !== connection.takenBytes || socket.writableLength === 0) {
    connection.takenBytes = takenBytes;
    connection.unreadSinceMs = nowMs;
  }
}

/**
 * Closes the responses of a connection that has closed. Node.js only does that for the one whose turn it
 * was, so that what writes the others would wait for ever and keep their bodies.
 */
export function closeResponses(responses: readonly ServerResponse[]): void {
  responses.forEach((response) => {
    response.destroy();
    response.emit('close');
  });
}

/** What a parser's function returns to Node.js to leave the rest of its bytes unparsed. */
const LEAVE_REST_UNPARSED = 2;

/**
 * Stops the parser of a connection, which would otherwise go on to create all requests of the bytes that
 * were read together: thousands, if they are short. Where Node.js has no such function, they are created.
 */
export function stopParsing(socket: Socket): void {
  const { parser } = socket as { readonly parser?: { onIncoming?: () => number } | null };
  if (parser?.onIncoming) {
    parser.onIncoming = () => LEAVE_REST_UNPARSED;
  }
}

/** What is called for a response that nobody waits for. */
export function ignore(): void {}
