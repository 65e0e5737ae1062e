/** Load generator, history checker and experiments over real processes on loopback. */
export { checkHistory, MAX_ZONE_OUT_DELAY_MS } from './checker/checkHistory.js';
export type * from './checker/history.js';
