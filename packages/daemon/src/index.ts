/** The galenatillerd binary: runs the entry or the gate role. */
export {
  SECOND_SIGNAL_EXIT_CODES,
  EXIT_FAILURE,
  EXIT_OK,
  EXIT_SETTINGS,
  EXIT_STOP_TIMEOUT,
  EXIT_USAGE,
  type StopSignal,
} from './exitCodes.js';
export {
  runDaemon,
  type RunDaemonOptions,
  type RunRole,
  type RunRoleOptions,
} from './runDaemon.js';
