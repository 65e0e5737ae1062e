/** Talks to the weight store within its rate. */
export {};
