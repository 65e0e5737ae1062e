/** Reads and validates INI settings. */
export {};
