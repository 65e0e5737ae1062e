/** The galenatiller binary: the operators' command line. */
export {};
