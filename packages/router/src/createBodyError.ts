import { GalenatillerError } from '@galenatiller/error';

import type { AdmittedCall } from './admitCall.js';
import type { BodyFailure } from './ports.js';

/** Time in which the bodies of other calls come to their end. */
const RETRY_AFTER_MS = 500;

/** Creates the error that refuses a call whose body was not read to its end. */
export function createBodyError(
  failure: Exclude<BodyFailure, 'broken'>,
  { maxBodyBytes }: Pick<AdmittedCall, 'maxBodyBytes'>,
): GalenatillerError {
  switch (failure) {
    case 'too-slow':
      return GalenatillerError.create({
        name: 'headers-too-slow',
        detail: 'the body was not complete by the deadline of the call',
      });
    case 'no-memory':
      return GalenatillerError.create({
        name: 'overloaded',
        detail: 'the memory for bodies is needed for other calls',
        retryAfterMs: RETRY_AFTER_MS,
      });
    default: {
      const detail =
        failure === 'too-large'
          ? `the body is over ${maxBodyBytes} bytes`
          : 'the body has too many chunks for its size';
      return GalenatillerError.create({ name: 'body-too-large', detail });
    }
  }
}
