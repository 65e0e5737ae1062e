/** The connection was never opened, so nothing was sent. */
export class ConnectError extends Error {}
