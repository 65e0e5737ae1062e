/** The gate role: the only way to the targets of its host. */
export {};
