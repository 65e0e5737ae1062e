/** The galenatillerd binary: runs the entry or the gate role. */
export {
  EXIT_BY_SECOND_SIGNAL,
  EXIT_FAILED,
  EXIT_OK,
  EXIT_SETTINGS,
  EXIT_STOP_CUT,
  EXIT_USAGE,
  type StopSignal,
} from './exitCodes.js';
export {
  runDaemon,
  type RunDaemonOptions,
  type RunRole,
  type RunRoleOptions,
} from './runDaemon.js';
