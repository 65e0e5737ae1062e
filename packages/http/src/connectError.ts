/** The connection could not be opened, so nothing was sent. */
export class ConnectError extends Error {
  /** Whether the peer's host refused the connection, so that nothing listens at its address. */
  readonly isRefused: boolean;

  constructor(cause: NodeJS.ErrnoException) {
    super(cause.message);
    this.isRefused = cause.code === 'ECONNREFUSED';
  }
}
