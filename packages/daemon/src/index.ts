/** The galenatillerd binary: runs the entry or the gate role. */
export {};
