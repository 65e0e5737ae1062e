import { GalenatillerError } from '@galenatiller/error';
import { Maybe } from 'true-myth';

import { decodeRefusal } from './wire.js';

/** Status of a target that refuses work before it starts. */
const SERVICE_UNAVAILABLE = 503;

/** Converts a status other than 200 to an error. */
export function findStatusError(opts: {
  readonly status: number;
  readonly text: string;
}): Maybe<GalenatillerError> {
  if (opts.status === 200) {
    return Maybe.nothing();
  }
  const refusal = opts.status === SERVICE_UNAVAILABLE ? decodeRefusal(opts.text) : Maybe.nothing();
  return Maybe.just(
    refusal.isJust
      ? GalenatillerError.create({ name: 'target-refused', detail: refusal.value.code })
      : GalenatillerError.create({ name: 'target-failed', detail: `status ${opts.status}` }),
  );
}
