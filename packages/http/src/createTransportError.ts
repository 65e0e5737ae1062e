import { GalenatillerError } from '@galenatiller/error';

/** Options of {@link createTransportError}. */
export interface CreateTransportErrorOptions {
  /** The value thrown by the HTTP client. */
  readonly cause: unknown;
  /** Signal of the request; an aborted one means that the caller cancelled it. */
  readonly signal: AbortSignal;
}

/** The fields of a socket error that tell in which phase it occurred. */
interface SocketFailure {
  readonly code?: string;
  readonly syscall?: string;
}

/** Converts a transport failure to an error; only a failed connect proves `not-run`. */
export function createTransportError(opts: CreateTransportErrorOptions): GalenatillerError {
  const detail = opts.cause instanceof Error ? opts.cause.message : 'the request failed';
  if (opts.signal.aborted) {
    return GalenatillerError.create({ name: 'cancelled', detail });
  }
  if (isConnectFailure(opts.cause)) {
    return GalenatillerError.create({ name: 'target-unreachable', detail });
  }
  return GalenatillerError.create({ name: 'stream-broken', detail });
}

function isConnectFailure(cause: unknown): boolean {
  if (!(cause instanceof Error)) {
    return false;
  }
  const { code, syscall } = cause as SocketFailure;
  return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT' || everyConnectFailed(cause);
}

/** Node tries each address of a host name and aggregates the failures. */
function everyConnectFailed(cause: Error): boolean {
  return cause instanceof AggregateError && cause.errors.every(isConnectFailure);
}
