/** Client of the platform's list of live and leaving hosts. */
export { pollHosts, type PollHostsOptions } from './pollHosts.js';
export { fetchHosts, type FetchHostsOptions } from './fetchHosts.js';
