import { GalenatillerError } from '@galenatiller/error';

/** Options of {@link createTransportError}. */
export interface CreateTransportErrorOptions {
  /** What the HTTP client threw. */
  readonly cause: unknown;
  /** Signal of the exchange; an aborted one means that the caller gave up. */
  readonly signal: AbortSignal;
}

/** The fields of a thrown socket error that tell its phase. */
interface SocketFailure {
  readonly code?: string;
  readonly syscall?: string;
}

/** Turns a failure of the transport into an error; only a failed connect proves `not-run`. */
export function createTransportError(opts: CreateTransportErrorOptions): GalenatillerError {
  const detail = opts.cause instanceof Error ? opts.cause.message : 'the exchange failed';
  if (opts.signal.aborted) {
    return GalenatillerError.create({ name: 'cancelled', detail });
  }
  if (failedToConnect(opts.cause)) {
    return GalenatillerError.create({ name: 'target-unreachable', detail });
  }
  return GalenatillerError.create({ name: 'stream-broken', detail });
}

function failedToConnect(cause: unknown): boolean {
  if (!(cause instanceof Error)) {
    return false;
  }
  const { code, syscall } = cause as SocketFailure;
  return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT' || allConnectsFailed(cause);
}

/** Node tries several addresses of one name and gathers their failures. */
function allConnectsFailed(cause: Error): boolean {
  return cause instanceof AggregateError && cause.errors.every(failedToConnect);
}
