import { setImmediate } from 'node:timers/promises';

/**
 * Resolves once the event loop has polled for I/O at least once more. Events that are already
 * pending, such as the end of a connection behind the data that was just read, come before that.
 */
export async function whenPolled(): Promise<void> {
  // The first callback runs after the poll phase in progress, the second one after the next.
  await setImmediate();
  await setImmediate();
}
