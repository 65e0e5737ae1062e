import { GalenatillerError } from '@galenatiller/error';
import {
  createAttemptHeaders,
  fetchText,
  findStatusError,
  type OnTargetNotice,
} from '@galenatiller/http';
import type { StageRequest, StageResult } from '@galenatiller/types';
import { Result } from 'true-myth';

import { decodePoolResponse, encodePoolRequest } from './wire.js';

/** Options of {@link runPoolStage}. */
export interface RunPoolStageOptions {
  /** Base URL of the pool worker. */
  readonly url: string;
  readonly order: StageRequest;
  readonly signal: AbortSignal;
  readonly onNotice?: OnTargetNotice;
}

/** Runs one encode, retrieve or rerank stage on a pool worker. */
export async function runPoolStage(
  opts: RunPoolStageOptions,
): Promise<Result<StageResult, GalenatillerError>> {
  const { order } = opts;
  const { input } = order;
  if (input.kind === 'generate' || input.kind === 'call') {
    return Result.err(
      GalenatillerError.create({
        name: 'target-refused',
        detail: `a pool can't run ${input.kind} stages`,
      }),
    );
  }
  const { path, body } = encodePoolRequest(input);
  const response = await fetchText({
    ...opts,
    path,
    method: 'POST',
    headers: createAttemptHeaders(order),
    body,
  });
  return response.andThen(({ status, text }) => {
    const failure = findStatusError({ status, text });
    return failure.isJust ? Result.err(failure.value) : decodePoolResponse({ input, text });
  });
}
