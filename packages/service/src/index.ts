/** Talks to plain services whose calls may not be repeated. */
export { runServiceCall, type RunServiceCallOptions } from './runServiceCall.js';
