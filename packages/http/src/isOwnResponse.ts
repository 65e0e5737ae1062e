/** Options of {@link isOwnResponse}. */
export interface IsOwnResponseOptions {
  /** Id of the request; empty when it has none. */
  readonly requestId: string;
  /** Id that the response repeats; empty when it repeats none. */
  readonly echoedId: string;
  /** Whether no other response came on the connection before. */
  readonly isFirstOnConnection: boolean;
}

/**
 * Whether a response provably answers the request before it: a target may repeat an earlier response
 * on a connection that is kept. Without this proof, a request may have run, whatever the response
 * states.
 */
export function isOwnResponse(opts: IsOwnResponseOptions): boolean {
  const { requestId, echoedId, isFirstOnConnection } = opts;
  return echoedId === '' ? isFirstOnConnection : echoedId === requestId;
}
