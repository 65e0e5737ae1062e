/**
 * What is known about the execution of a request or stage.
 * `not-run`: proved that it did not start. `ran`: proved that it finished.
 * `may-have-run`: neither is proved.
 */
export type Outcome = 'not-run' | 'ran' | 'may-have-run';
