import type { NodeStatus } from '@galenatiller/operator';

import type { NodeReport, StatusReport } from './commandReport.js';
import { describeUnknown } from './describeUnknown.js';
import type { Platform } from './platform.js';
import { type HostAnswer, readFleet, silentHosts } from './readFleet.js';

/** Options of {@link readStatus}. */
export interface ReadStatusOptions {
  readonly platform: Platform;
}

/** Revision when the store does not say which is the newest. */
const UNKNOWN_REVISION = -1;

/** Asks the store, the host list and every node; what does not answer is told as unknown. */
export async function readStatus(opts: ReadStatusOptions): Promise<StatusReport> {
  const { readConfiguration, readHosts, askStatus } = opts.platform;
  const [configuration, fleet] = await Promise.all([
    readConfiguration(),
    readFleet({ readHosts, ask: askStatus }),
  ]);
  const answers = fleet.unwrapOr([]);
  return {
    command: 'status',
    revision: configuration.isOk ? configuration.value.revision : UNKNOWN_REVISION,
    nodes: answers.map(toReport),
    unknown: [
      ...(configuration.isErr ? [describeUnknown(configuration.error, 'the newest revision')] : []),
      ...(fleet.isErr ? [describeUnknown(fleet.error, 'which nodes there are')] : []),
      ...silentHosts(answers),
    ],
  };
}

function toReport({ host, answer }: HostAnswer<NodeStatus>): NodeReport {
  return answer.isOk ? { host, status: answer.value } : { host };
}
