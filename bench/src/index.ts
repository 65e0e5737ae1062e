/** Load generator, history checker and experiments over real processes on loopback. */
export { checkHistory, ZONE_OUT_LIMIT_MS } from './checker/checkHistory.js';
export type * from './checker/history.js';
