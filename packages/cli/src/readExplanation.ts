import { explainRequest } from '@galenatiller/timeline';
import { Result } from 'true-myth';

import { type CommandFailure, fail } from './commandFailure.js';
import type { ExplainReport } from './commandReport.js';
import type { Platform } from './platform.js';
import { queryHosts, listHostErrors } from './queryHosts.js';

/** Options of {@link readExplanation}. */
export interface ReadExplanationOptions {
  readonly platform: Platform;
  readonly requestId: string;
}

/** Explains one request from what every node knows of it. */
export async function readExplanation(
  opts: ReadExplanationOptions,
): Promise<Result<ExplainReport, CommandFailure>> {
  const { platform, requestId } = opts;
  const fleet = await queryHosts({
    fetchHosts: platform.fetchHosts,
    queryHost: (host) => platform.fetchExplanation(host, requestId),
  });
  if (fleet.isErr) {
    return fail(fleet.error, ['Not known: which nodes there are, and so which one had it.']);
  }
  const events = fleet.value.flatMap(({ response }) =>
    response.isOk ? response.value.events : [],
  );
  return Result.ok({
    command: 'explain',
    requestId,
    sentences: explainRequest(events),
    unknown: listHostErrors(fleet.value),
  });
}
