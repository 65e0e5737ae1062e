import { GalenatillerError } from '@galenatiller/error';

/** Wraps an error with the information that is unknown because of it. */
export function createUnknownError(error: GalenatillerError, subject: string): GalenatillerError {
  const { codeName: name, outcome, retryAfterMs } = error;
  const detail = `${subject} is not known: ${error.detail}`;
  return GalenatillerError.create({ name, outcome, retryAfterMs, detail });
}
