import type { NodeStatus } from '@galenatiller/operator';

import type { NodeReport, StatusReport } from './commandReport.js';
import { createUnknownError } from './createUnknownError.js';
import type { Platform } from './platform.js';
import { type HostResponse, queryHosts, listHostErrors } from './queryHosts.js';

/** Options of {@link readStatus}. */
export interface ReadStatusOptions {
  readonly platform: Platform;
}

/** Revision when the store does not say which is the newest. */
const UNKNOWN_REVISION = -1;

/** Asks the store, the host list and every node; what does not answer is told as unknown. */
export async function readStatus(opts: ReadStatusOptions): Promise<StatusReport> {
  const { readConfiguration, fetchHosts, fetchStatus } = opts.platform;
  const [configuration, fleet] = await Promise.all([
    readConfiguration(),
    queryHosts({ fetchHosts, queryHost: fetchStatus }),
  ]);
  const answers = fleet.unwrapOr([]);
  return {
    command: 'status',
    revision: configuration.isOk ? configuration.value.revision : UNKNOWN_REVISION,
    nodes: answers.map(toReport),
    unknown: [
      ...(configuration.isErr
        ? [createUnknownError(configuration.error, 'the newest revision')]
        : []),
      ...(fleet.isErr ? [createUnknownError(fleet.error, 'which nodes there are')] : []),
      ...listHostErrors(answers),
    ],
  };
}

function toReport({ host, response }: HostResponse<NodeStatus>): NodeReport {
  return response.isOk ? { host, status: response.value } : { host };
}
