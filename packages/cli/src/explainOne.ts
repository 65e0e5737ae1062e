import { explainRequest } from '@galenatiller/timeline';
import { Result } from 'true-myth';

import { type CommandFailure, fail } from './commandFailure.js';
import type { ExplainReport } from './commandReport.js';
import type { Platform } from './platform.js';
import { readFleet, silentHosts } from './readFleet.js';

/** Options of {@link explainOne}. */
export interface ExplainOneOptions {
  readonly platform: Platform;
  readonly requestId: string;
}

/** Explains one request from what every node knows of it. */
export async function explainOne(
  opts: ExplainOneOptions,
): Promise<Result<ExplainReport, CommandFailure>> {
  const { platform, requestId } = opts;
  const fleet = await readFleet({
    readHosts: platform.readHosts,
    ask: (host) => platform.askExplanation(host, requestId),
  });
  if (fleet.isErr) {
    return fail(fleet.error, ['Not known: which nodes there are, and so which one had it.']);
  }
  const events = fleet.value.flatMap(({ answer }) => (answer.isOk ? answer.value.events : []));
  return Result.ok({
    command: 'explain',
    requestId,
    sentences: explainRequest(events),
    unknown: silentHosts(fleet.value),
  });
}
