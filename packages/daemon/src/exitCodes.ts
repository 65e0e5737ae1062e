/** Exit code after a graceful shutdown, or after a check that found no problems. */
export const EXIT_OK = 0;

/** Exit code for an invalid command line. */
export const EXIT_USAGE = 1;

/** Exit code when the graceful shutdown exceeded the stop limit: thousands digit of result code `deadline-exceeded`. */
export const EXIT_STOP_TIMEOUT = 2;

/** Exit code for invalid settings: thousands digit of result code `settings-invalid`. */
export const EXIT_SETTINGS = 6;

/** Exit code when a role fails or ends without a stop signal: thousands digit of result code `internal`. */
export const EXIT_FAILURE = 9;

/** Signals that request a graceful shutdown. */
export type StopSignal = 'SIGINT' | 'SIGTERM';

/** Exit codes for a second signal, which ends the process at once: 128 plus the signal number. */
export const SECOND_SIGNAL_EXIT_CODES: Readonly<Record<StopSignal, number>> = {
  SIGINT: 130,
  SIGTERM: 143,
};
