import type { StageRequest } from '@galenatiller/types';

/** Creates the headers that identify a stage attempt to a target. */
export function createAttemptHeaders(request: StageRequest): Readonly<Record<string, string>> {
  return {
    'content-type': 'application/json',
    'x-request-id': request.requestId,
    'x-stage-index': String(request.stageIndex),
    'x-attempt': String(request.attempt),
    'x-route': request.route,
  };
}
