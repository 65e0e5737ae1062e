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

/** Time between two polls of the nodes. */
const POLL_INTERVAL_MS = 500;

/** Waits until a revision is active at every live node, and returns the number of these nodes. */
export async function waitForActivation(
  opts: WaitForActivationOptions,
): Promise<Result<number, CommandFailure>> {
  const { timer } = opts.platform;
  const deadlineMs = timer.nowMs() + opts.waitMs;
  let lastMessage = '';
  for (;;) {
    const poll = await pollNodes(opts);
    if (poll.isOk && poll.value.pending.length === 0) {
      return Result.ok(poll.value.nodes);
    }
    const message = describePoll(opts.revision, poll);
    if (timer.nowMs() >= deadlineMs) {
      const pending = poll.isOk ? poll.value.pending : [];
      return fail(GalenatillerError.create({ name: 'not-in-force', detail: message }), pending);
    }
    if (message !== lastMessage) {
      opts.onProgress(message);
      lastMessage = message;
    }
    await timer.sleep({ delayMs: POLL_INTERVAL_MS });
  }
}

interface PollResult {
  readonly nodes: number;
  /** One line for each node where the revision is not active. */
  readonly pending: readonly string[];
}

async function pollNodes(opts: WaitForActivationOptions): AsyncResult<PollResult> {
  const { fetchHosts, fetchStatus } = opts.platform;
  const responses = await queryHosts({ fetchHosts, queryHost: fetchStatus });
  return responses.map((hostResponses) => {
    const live = hostResponses.filter(isAcceptingWork);
    return {
      nodes: live.length,
      pending: live.flatMap((hostResponse) => describePendingNode(opts, hostResponse)),
    };
  });
}

/** A leaving or draining host may stop before it receives the revision, so it is not waited for. */
function isAcceptingWork({ host, response }: HostResponse<NodeStatus>): boolean {
  return host.state === 'live' && !(response.isOk && response.value.draining);
}

function describePendingNode(
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

function describePoll(revision: number, poll: Result<PollResult, GalenatillerError>): string {
  if (poll.isErr) {
    return `revision ${revision} is accepted; the host list did not respond, so it is not known where it is in force`;
  }
  const { nodes, pending } = poll.value;
  return `revision ${revision} is accepted and in force at ${nodes - pending.length} of ${nodes} nodes`;
}
