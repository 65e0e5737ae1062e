/**
 * What is known about the execution of a request or stage.
 * `not-run`: it certainly did not start. `ran`: it certainly finished.
 * `may-have-run`: neither is certain.
 */
export type Outcome = 'not-run' | 'ran' | 'may-have-run';
