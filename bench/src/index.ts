/** Load generator and experiments over real processes on loopback. */
export {};
