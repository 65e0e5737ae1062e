/** A connection that notices responses that are cut off, or that never end; both clients use it. */
import type { Socket } from 'node:net';

import type { BodyEnd } from '@galenatiller/types';
import { type buildConnector, Client } from 'undici';

/** What happened on one socket. */
export interface SocketHistory {
  /** Whether the peer has closed its side cleanly (FIN), after all of its bytes were read. */
  isEnded: boolean;
  responses: number;
  /** Records that a request is sent, or that data of a body has come. */
  recordProgress: () => void;
  /** Ids of the requests that were answered. */
  readonly ids: Set<string>;
}

/** A connection that carries one request at a time. */
export interface Connection {
  readonly client: Client;
  /** History of the present socket; the client replaces a socket that has closed. */
  readonly history: () => SocketHistory;
}

/** Options of {@link createConnection}. */
export interface CreateConnectionOptions {
  readonly origin: string;
  /** Opens a socket to the origin. */
  readonly openSocket: buildConnector.connector;
  readonly keepAlive?: Pick<Client.Options, 'keepAliveTimeout' | 'keepAliveTimeoutThreshold'>;
}

/** Maximum bytes on a connection without data of a body; a head is smaller, and so are its buffers. */
const MAX_OVERHEAD_BYTES = 1_048_576;

/** Creates a connection, whose socket is opened by the first request. */
export function createConnection(opts: CreateConnectionOptions): Connection {
  const { origin, openSocket, keepAlive } = opts;
  let history = createHistory();
  const client = new Client(origin, {
    pipelining: 1,
    ...keepAlive,
    connect: (options, callback) => {
      const opened = createHistory();
      history = opened;
      openSocket(options, (...result) => {
        const [, socket] = result;
        if (socket) {
          socket.once('end', () => {
            opened.isEnded = true;
          });
          opened.recordProgress = limitOverhead(socket);
        }
        callback(...result);
      });
    },
  });
  return { client, history: () => history };
}

/** Reads a body to its end. Throws when it is interrupted; leaving the loop closes the connection. */
export async function* readBody(opts: {
  readonly connection: Connection;
  readonly body: AsyncIterable<Buffer>;
  readonly bodyEnd: BodyEnd;
  /** Called at the complete end of the body, in place of a close, if the connection may be reused. */
  readonly keep: (() => void) | undefined;
  /** Called with the number of bytes of each part. */
  readonly onRead?: ((bytes: number) => void) | undefined;
}): AsyncGenerator<Buffer, void, void> {
  const { connection, keep } = opts;
  let isComplete = false;
  try {
    for await (const chunk of opts.body) {
      connection.history().recordProgress();
      opts.onRead?.(chunk.length);
      yield chunk;
    }
    // undici treats a reset as the end of a body without length.
    if (opts.bodyEnd === 'close' && !connection.history().isEnded) {
      throw new Error('the connection was reset within a body without length');
    }
    isComplete = true;
  } finally {
    if (isComplete && keep) {
      keep();
    } else {
      closeConnection(connection);
    }
  }
}

/** Whether a connection can carry another request once the body of a response has been read. */
export function isReusable(bodyEnd: BodyEnd, connectionHeader: unknown): boolean {
  return bodyEnd !== 'close' && String(connectionHeader ?? '').toLowerCase() !== 'close';
}

/** Closes a connection and cancels its request. */
export function closeConnection(connection: Connection): void {
  connection.client.destroy().catch(ignoreError);
}

/** Destroying a client or body rejects its pending operations, which have handlers of their own. */
export function ignoreError(): void {}

function createHistory(): SocketHistory {
  return { isEnded: false, responses: 0, recordProgress: () => {}, ids: new Set() };
}

/**
 * Closes a connection on which too many bytes come that belong to no body, such as informational
 * responses or extensions of chunks; the HTTP client would read them for as long as the request waits.
 * Returns a function to call when a request is sent and when data comes.
 */
function limitOverhead(socket: Socket): () => void {
  let progressAtBytes = 0;
  socket.prependListener('readable', () => {
    if (socket.bytesRead - progressAtBytes > MAX_OVERHEAD_BYTES) {
      socket.destroy(new Error(`over ${MAX_OVERHEAD_BYTES} bytes without data of a body`));
    }
  });
  return () => {
    progressAtBytes = socket.bytesRead;
  };
}
