import { GalenatillerError } from '@galenatiller/error';
import type { NodeStatus } from '@galenatiller/operator';
import { Result } from 'true-myth';

import { type CommandFailure, fail } from './commandFailure.js';
import type { OnProgress } from './commandReport.js';
import type { AsyncResult, Platform } from './platform.js';
import { type HostResponse, queryHosts } from './queryHosts.js';

/** Options of {@link waitForActivation}. */
export interface WaitForActivationOptions {
  readonly platform: Platform;
  readonly revision: number;
  readonly waitMs: number;
  readonly onProgress: OnProgress;
}

/** Time between two rounds of questions to the nodes. */
const ROUND_INTERVAL_MS = 500;

/** Waits until every live node says that a revision is in force; gives the number of nodes. */
export async function waitForActivation(
  opts: WaitForActivationOptions,
): Promise<Result<number, CommandFailure>> {
  const { timer } = opts.platform;
  const deadlineMs = timer.nowMs() + opts.waitMs;
  let lastMessage = '';
  for (;;) {
    const round = await askRound(opts);
    if (round.isOk && round.value.lacking.length === 0) {
      return Result.ok(round.value.nodes);
    }
    const message = describeRound(opts.revision, round);
    if (timer.nowMs() >= deadlineMs) {
      const lacking = round.isOk ? round.value.lacking : [];
      return fail(GalenatillerError.create({ name: 'not-in-force', detail: message }), lacking);
    }
    if (message !== lastMessage) {
      opts.onProgress(message);
      lastMessage = message;
    }
    await timer.sleep({ delayMs: ROUND_INTERVAL_MS });
  }
}

interface Round {
  readonly nodes: number;
  /** A line for each node that lacks the revision. */
  readonly lacking: readonly string[];
}

async function askRound(opts: WaitForActivationOptions): AsyncResult<Round> {
  const { fetchHosts, fetchStatus } = opts.platform;
  const fleet = await queryHosts({ fetchHosts, queryHost: fetchStatus });
  return fleet.map((answers) => {
    const live = answers.filter(takesWork);
    return { nodes: live.length, lacking: live.flatMap((each) => lackingLine(opts, each)) };
  });
}

/** A host that leaves may be gone before it learns anything. */
function takesWork({ host, response }: HostResponse<NodeStatus>): boolean {
  return host.state === 'live' && !(response.isOk && response.value.draining);
}

function lackingLine(
  opts: WaitForActivationOptions,
  { host, response }: HostResponse<NodeStatus>,
): readonly string[] {
  if (response.isErr) {
    return [`${host.name}: not known, ${response.error.detail}`];
  }
  const { configurationRevision } = response.value;
  return configurationRevision >= opts.revision
    ? []
    : [`${host.name}: has revision ${configurationRevision}`];
}

function describeRound(revision: number, round: Result<Round, GalenatillerError>): string {
  if (round.isErr) {
    return `revision ${revision} is accepted; the host list does not answer, so where it is in force is not known`;
  }
  const { nodes, lacking } = round.value;
  return `revision ${revision} is accepted and in force at ${nodes - lacking.length} of ${nodes} nodes`;
}
