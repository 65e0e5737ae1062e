import type { StageInput, StageRequest } from '@galenatiller/types';

/** A stage order for tests that care about its input only. */
export function createSampleStageRequest(input: StageInput): StageRequest {
  return {
    requestId: 'request-1',
    stageIndex: 0,
    attempt: 1,
    targetName: 'target-1',
    organisation: 'lautoka',
    route: 'assistant',
    stage: 'draft',
    priority: 'interactive',
    remainingMs: 1_000,
    idempotent: true,
    runKey: '',
    bodyDigest: '',
    input,
  };
}
