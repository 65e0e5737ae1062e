/** Errors of the records of runs. */
import { GalenatillerError } from '@galenatiller/error';

/** A claim that failed was not dispatched, whatever the store holds. */
export function toNotRunError(error: GalenatillerError): GalenatillerError {
  const { codeName: name, detail, retryAfterMs } = error;
  return GalenatillerError.create({ name, detail, retryAfterMs, outcome: 'not-run' });
}

/** The record came and went. */
export function createContentionError(): GalenatillerError {
  const detail = 'the record of the run came and went while it was claimed';
  return GalenatillerError.create({ name: 'store-unavailable', detail });
}

/** The run is another node's. */
export function createNotClaimedError(): GalenatillerError {
  const detail = 'this node has no claim for the run';
  return GalenatillerError.create({ name: 'run-unknown', detail });
}

/** The answer does not fit into a record. */
export function createResultTooLargeError(chars: number): GalenatillerError {
  const detail = `an answer of ${chars} characters is too large to be kept for repeats`;
  return GalenatillerError.create({ name: 'run-unknown', detail });
}
