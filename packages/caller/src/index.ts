/** Serves callers over HTTP: requests, streams and refusals. */
export {};
