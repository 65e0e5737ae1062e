/** Client of plain services, whose calls must not be repeated. */
export { runServiceCall, type RunServiceCallOptions } from './runServiceCall.js';
