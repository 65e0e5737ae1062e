/** The galenatiller binary: command line interface for operators. */
export type { CommandFailure } from './commandFailure.js';
export type * from './commandReport.js';
export type * from './platform.js';
export { connectPlatform, type ConnectPlatformOptions } from './connectPlatform.js';
export { type PlatformConnection, runCli, type RunCliOptions } from './runCli.js';
