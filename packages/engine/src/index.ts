/** Talks to model engines, and decides how much load one can take. */
export {};
