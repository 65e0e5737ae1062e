/** What is known of a connection, as far as its closing is concerned. */
export interface ConnectionState {
  /** Requests whose responses have not left. */
  readonly requests: number;
  /** Whether its only request is not complete, so that it can't have run. */
  readonly isReceiving: boolean;
  /** Monotonic time of its opening, or of the end of its last response. */
  readonly idleSinceMs: number;
  /** Bytes of the request head that has begun. */
  readonly headBytes: number;
  /** Bytes of responses that the caller has not read. */
  readonly unreadBytes: number;
  /** Monotonic time since which the caller has read nothing. */
  readonly unreadSinceMs: number;
}

/** Limits for the connections of a server. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  readonly headBytes: number;
  readonly unreadBytes: number;
  /** Time after which a caller that reads nothing of its response is gone. */
  readonly unreadLimitMs: number;
}

/** Limits for the requests in progress on one connection. */
export interface PipelineLimits {
  /** From this number on, the connection is not read until some have ended. */
  readonly pauseAt: number;
  /** From this number on, which a pause came too late for, the connection is closed. */
  readonly closeAt: number;
}

/** Limits for callers. */
export const PIPELINE_LIMITS: PipelineLimits = { pauseAt: 8, closeAt: 64 };

/** Limits for ports whose clients wait for each answer. */
export const STRICT_PIPELINE_LIMITS: PipelineLimits = { pauseAt: 2, closeAt: 8 };

/** Why a connection is closed. */
export type CloseReason = 'connections' | 'heads' | 'unread' | 'not-reading' | 'requests';

/**
 * Chooses the connection that makes room for a new one: the oldest one without requests, or else the oldest
 * one whose request is not complete; undefined if all of them run requests.
 */
export function chooseIdle<Connection extends ConnectionState>(
  connections: Iterable<Connection>,
): Connection | undefined {
  let oldestIdle: Connection | undefined;
  let oldestReceiving: Connection | undefined;
  for (const connection of connections) {
    if (connection.requests === 0) {
      oldestIdle = findOlder(oldestIdle, connection);
    } else if (connection.isReceiving) {
      oldestReceiving = findOlder(oldestReceiving, connection);
    }
  }
  return oldestIdle ?? oldestReceiving;
}

function findOlder<Connection extends ConnectionState>(
  oldest: Connection | undefined,
  connection: Connection,
): Connection {
  return !oldest || connection.idleSinceMs < oldest.idleSinceMs ? connection : oldest;
}

/** Chooses the connections whose incomplete heads take too much, the longest ones first. */
export function chooseHeads<Connection extends ConnectionState>(
  connections: readonly Connection[],
  limits: ConnectionLimits,
): readonly Connection[] {
  return chooseLargest(connections, ({ headBytes }) => headBytes, limits.headBytes);
}

/** Chooses the connections whose unread responses take too much, the largest ones first. */
export function chooseUnread<Connection extends ConnectionState>(
  connections: readonly Connection[],
  limits: ConnectionLimits,
): readonly Connection[] {
  return chooseLargest(connections, ({ unreadBytes }) => unreadBytes, limits.unreadBytes);
}

/** Chooses the connections whose callers have read nothing for too long. */
export function chooseNotReading<Connection extends ConnectionState>(
  connections: readonly Connection[],
  limits: ConnectionLimits,
  nowMs: number,
): readonly Connection[] {
  return connections.filter(
    ({ unreadBytes, unreadSinceMs }) =>
      unreadBytes > 0 && nowMs - unreadSinceMs >= limits.unreadLimitMs,
  );
}

function chooseLargest<Connection extends ConnectionState>(
  connections: readonly Connection[],
  measure: (connection: Connection) => number,
  limitBytes: number,
): readonly Connection[] {
  let excessBytes = connections.reduce((sum, connection) => sum + measure(connection), -limitBytes);
  if (excessBytes <= 0) {
    return [];
  }
  return [...connections]
    .sort((left, right) => measure(right) - measure(left))
    .filter((connection) => {
      const isChosen = excessBytes > 0;
      excessBytes -= measure(connection);
      return isChosen;
    });
}

/**
 * The connection with the most requests in progress, which makes room for other callers; undefined if none
 * has sent requests ahead.
 */
export function chooseMostRequests<Chosen extends { readonly requests: number }>(
  connections: Iterable<Chosen>,
): Chosen | undefined {
  return [...connections].reduce<Chosen | undefined>(
    (most, connection) => (connection.requests > (most?.requests ?? 1) ? connection : most),
    undefined,
  );
}
