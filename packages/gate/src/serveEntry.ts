import type { NodeFrame, ProvedLink } from '@galenatiller/node';
import type { AttemptId, StageOrder, StagePart, TargetReport } from '@galenatiller/types';

import { type GateContext, runOrder } from './runOrder.js';

/** Options of {@link serveEntry}. */
export interface ServeEntryOptions {
  readonly proved: ProvedLink;
  readonly context: GateContext;
  readonly readReports: () => readonly TargetReport[];
  /** Time between reports while the link is idle. */
  readonly reportIntervalMs: number;
}

/** Serves the link from one entry: reads its frames to the end, one task for each order. */
export async function serveEntry(opts: ServeEntryOptions): Promise<void> {
  const { link, peer } = opts.proved;
  const { context } = opts;
  const running = new Map<string, AbortController>();
  const sendReports = (): void => {
    link.send({ kind: 'targets', reports: opts.readReports(), leaving: context.isLeaving() });
  };
  const cancelReports = context.timer.every({
    intervalMs: opts.reportIntervalMs,
    notify: sendReports,
  });
  context.logger({ message: `Entry ${peer.nodeName} has opened a link.` });
  sendReports();
  try {
    for await (const frame of link.read()) {
      takeFrame(frame);
    }
  } finally {
    cancelReports();
    running.forEach((cancel) => {
      cancel.abort();
    });
    context.logger({ message: `The link from entry ${peer.nodeName} has ended.` });
  }

  function takeFrame(frame: NodeFrame): void {
    switch (frame.kind) {
      case 'stage-run':
        startOrder(frame.order);
        break;
      case 'stage-cancel':
        running.get(keyOf(frame.attempt))?.abort();
        break;
      case 'ping':
        link.send({ kind: 'pong', revision: context.readConfiguration().revision });
        break;
      default:
        context.logger({ message: `Entry ${peer.nodeName} sent a frame of kind ${frame.kind}.` });
    }
  }

  function startOrder(order: StageOrder): void {
    const key = keyOf(order);
    if (running.has(key)) {
      // The same attempt again would be a second run.
      return;
    }
    const cancel = new AbortController();
    running.set(key, cancel);
    context.tasks.start(() => answerOrder(order, cancel.signal).finally(() => running.delete(key)));
  }

  async function answerOrder(order: StageOrder, signal: AbortSignal): Promise<void> {
    const { requestId, stageIndex, attempt } = order;
    const attemptId: AttemptId = { requestId, stageIndex, attempt };
    const onPart = (part: StagePart): void => {
      link.send({ kind: 'stage-part', attempt: attemptId, part });
    };
    const end = await runOrder({ context, order, signal, onPart });
    link.send({ kind: 'stage-end', attempt: attemptId, end });
  }
}

function keyOf(attempt: AttemptId): string {
  return `${attempt.requestId}/${attempt.stageIndex}/${attempt.attempt}`;
}
