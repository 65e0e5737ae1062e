import { GalenatillerError } from '@galenatiller/error';

/** Says what stays unknown because of an error. */
export function createUnknownError(error: GalenatillerError, what: string): GalenatillerError {
  const { codeName: name, outcome, retryAfterMs } = error;
  const detail = `${what} is not known: ${error.detail}`;
  return GalenatillerError.create({ name, outcome, retryAfterMs, detail });
}
