/** Reads the platform list of live and leaving hosts. */
export { followHosts, type FollowHostsOptions } from './followHosts.js';
export { readHosts, type ReadHostsOptions } from './readHosts.js';
