/** Reads the platform list of live and leaving hosts. */
export {};
