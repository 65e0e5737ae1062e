import type { StageRequest } from '@galenatiller/types';

/** Headers that name one attempt at a stage towards a target. */
export function createAttemptHeaders(order: StageRequest): Readonly<Record<string, string>> {
  return {
    'content-type': 'application/json',
    'x-request-id': order.requestId,
    'x-stage-index': String(order.stageIndex),
    'x-attempt': String(order.attempt),
    'x-route': order.route,
  };
}
