/** The connection could not be opened, so nothing was sent. */
export class ConnectError extends Error {}
