/** Talks to the platform key-value service: compare-and-swap, leases and watches. */
export {};
