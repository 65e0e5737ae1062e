/** Sends metrics to a statsd server. */
export {};
