/** A connection that notices responses that are cut off, or that never end; both clients use it. */
import type { Socket } from 'node:net';

import type { TimerService } from '@galenatiller/timer';
import type { BodyEnd } from '@galenatiller/types';
import { type buildConnector, Client } from 'undici';

import { confirmEnd } from './confirmEnd.js';

/** What happened on one socket. */
export interface SocketHistory {
  /** Whether the peer has closed its side cleanly (FIN), after all of its bytes were read, and sent no reset. */
  isEnded: boolean;
  /** For how long the connection has to stand after its end before the end counts. */
  endHoldMs: number;
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
  readonly timer: TimerService;
  /** Opens a socket to the origin. */
  readonly openSocket: buildConnector.connector;
  readonly keepAlive?: Pick<Client.Options, 'keepAliveTimeout' | 'keepAliveTimeoutThreshold'>;
}

/** Maximum bytes on a connection without data of a body; a head is smaller, and so are its buffers. */
const MAX_OVERHEAD_BYTES = 1_048_576;

/** Creates a connection, whose socket is opened by the first request. */
export function createConnection(opts: CreateConnectionOptions): Connection {
  const { origin, timer, openSocket, keepAlive } = opts;
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
          confirmEnd({
            socket,
            holdMs: () => opened.endHoldMs,
            sleep: (sleep) => timer.sleep(sleep),
          });
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

/** A peer reads a request up to this size at once, and leaves no part of it unread. */
const MAX_BYTES_READ_AT_ONCE = 65_536;

/** A peer that closes its side although it leaves a part of the request unread resets the connection within this time. */
const UNREAD_RESET_MS = 300;

/**
 * Records how the response to the present request ends. Where the end of the connection is that of a body, and the
 * request is large, the connection has to stand for a time after it: the peer may break off with a part of the
 * request unread, in which case a reset follows.
 */
export function recordBodyEnd(
  connection: Connection,
  { bodyEnd, requestBytes }: { readonly bodyEnd: BodyEnd; readonly requestBytes: number },
): void {
  const mayBeUnread = bodyEnd === 'close' && requestBytes > MAX_BYTES_READ_AT_ONCE;
  const history = connection.history();
  history.endHoldMs = mayBeUnread ? UNREAD_RESET_MS : 0;
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
    // undici takes a reset for the end of a body without length.
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
  return { isEnded: false, endHoldMs: 0, responses: 0, recordProgress: () => {}, ids: new Set() };
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
