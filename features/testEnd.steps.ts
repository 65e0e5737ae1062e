/** Ends the test process if something that a scenario opened keeps it alive, and says what it is. */
import { AfterAll } from '@cucumber/cucumber';

/** Connections and timers that are about to end do so within this time. */
const MAX_END_MS = 30_000;

/** Tells `scripts/test.mjs` that the process had to be ended. */
const EXIT_CODE_STILL_ALIVE = 97;

AfterAll(() => {
  const limit = setTimeout(() => {
    // Experimental in Node.js 20, and only used to say what was left.
    // eslint-disable-next-line n/no-unsupported-features/node-builtins
    const resources = process.getActiveResourcesInfo().join(', ');
    process.stderr.write(
      `the test process was still alive after the last scenario: ${resources}\n`,
    );
    // eslint-disable-next-line n/no-process-exit
    process.exit(EXIT_CODE_STILL_ALIVE);
  }, MAX_END_MS);
  limit.unref();
});
