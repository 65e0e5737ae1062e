import type { NodeStatus } from '@galenatiller/operator';

import type { NodeReport, StatusReport } from './commandReport.js';
import { createUnknownError } from './createUnknownError.js';
import type { Platform } from './platform.js';
import { type HostResponse, queryHosts, listHostErrors } from './queryHosts.js';

/** Options of {@link readStatus}. */
export interface ReadStatusOptions {
  readonly platform: Platform;
}

/** Reported revision when the store can't be read. */
const UNKNOWN_REVISION = -1;

/** Queries the store, the host list and all nodes. Missing responses are reported as unknown. */
export async function readStatus(opts: ReadStatusOptions): Promise<StatusReport> {
  const { readConfiguration, fetchHosts, fetchStatus } = opts.platform;
  const [configuration, nodes] = await Promise.all([
    readConfiguration(),
    queryHosts({ fetchHosts, queryHost: fetchStatus }),
  ]);
  const responses = nodes.unwrapOr([]);
  return {
    command: 'status',
    revision: configuration.isOk ? configuration.value.revision : UNKNOWN_REVISION,
    nodes: responses.map(createNodeReport),
    unknown: [
      ...(configuration.isErr
        ? [createUnknownError(configuration.error, 'the newest revision')]
        : []),
      ...(nodes.isErr ? [createUnknownError(nodes.error, 'which nodes there are')] : []),
      ...listHostErrors(responses),
    ],
  };
}

function createNodeReport({ host, response }: HostResponse<NodeStatus>): NodeReport {
  return response.isOk ? { host, status: response.value } : { host };
}
