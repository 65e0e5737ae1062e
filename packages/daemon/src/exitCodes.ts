/** Exit code after a graceful shutdown, and of a check without problems. */
export const EXIT_OK = 0;

/** Exit code of a command line that is wrong. */
export const EXIT_USAGE = 1;

/** Exit code when the stop limit cut what still ran: thousands digit of `deadline-exceeded`. */
export const EXIT_STOP_TIMEOUT = 2;

/** Exit code of bad settings: thousands digit of `settings-invalid`. */
export const EXIT_SETTINGS = 6;

/** Exit code when a role fails or ends unasked: thousands digit of `internal`. */
export const EXIT_FAILURE = 9;

/** Signals that ask for a graceful shutdown. */
export type StopSignal = 'SIGINT' | 'SIGTERM';

/** Exit codes of a second signal, which ends the process at once: 128 and the signal's number. */
export const SECOND_SIGNAL_EXIT_CODES: Readonly<Record<StopSignal, number>> = {
  SIGINT: 130,
  SIGTERM: 143,
};
