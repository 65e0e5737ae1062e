/**
 * Replaces `node:assert` in the bundle. There, a failed assertion without a message reads and parses the
 * source file to quote the expression, which blocks the event loop for seconds when the file is minified.
 */
class AssertionError extends Error {
  constructor(message) {
    super(message);
    this.name = 'AssertionError';
    this.code = 'ERR_ASSERTION';
  }
}

/** Throws the given error, or one with the given message, unless the condition holds. */
function assert(condition, message = 'an assertion failed') {
  if (!condition) {
    throw message instanceof Error ? message : new AssertionError(message);
  }
}

module.exports = Object.assign(assert, { ok: assert, AssertionError });
