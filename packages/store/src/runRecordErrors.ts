/** Errors of run records. */
import { GalenatillerError } from '@galenatiller/error';

/**
 * Marks the error as `not-run`: a run whose claim failed is not dispatched, even if the claim was
 * stored.
 */
export function toNotRunError(error: GalenatillerError): GalenatillerError {
  const { codeName: name, detail, retryAfterMs } = error;
  return GalenatillerError.create({ name, detail, retryAfterMs, outcome: 'not-run' });
}

/** The record was created and deleted repeatedly during the claim. */
export function createContentionError(): GalenatillerError {
  const detail = 'the run record was created and deleted by others while it was being claimed';
  return GalenatillerError.create({ name: 'store-unavailable', detail });
}

/** This node did not claim the run. */
export function createNotClaimedError(): GalenatillerError {
  const detail = 'this node has not claimed the run';
  return GalenatillerError.create({ name: 'run-unknown', detail });
}

/** The result does not fit into a record. */
export function createResultTooLargeError(chars: number): GalenatillerError {
  const detail = `a result of ${chars} characters is too large to be stored for retries`;
  return GalenatillerError.create({ name: 'run-unknown', detail });
}
