import type { Logger } from '@galenatiller/logger';
import type {
  ConfigurationExchange,
  NodeGossip,
  NodeFrame,
  AuthenticatedLink,
} from '@galenatiller/node';
import type { AttemptId, StageRequest, StagePart, TargetReport } from '@galenatiller/types';

import type { GateContext } from './gateContext.js';
import { ReportSender } from './reportSender.js';
import { runStageRequest } from './runStageRequest.js';

/** Options of {@link serveEntry}. */
export interface ServeEntryOptions {
  readonly proved: AuthenticatedLink;
  readonly context: GateContext;
  readonly readReports: () => readonly TargetReport[];
  /** Time between reports while the link is idle. */
  readonly reportIntervalMs: number;
  readonly news: NodeGossip;
  readonly exchange: ConfigurationExchange;
  readonly logger: Logger;
}

interface Session extends ServeEntryOptions {
  /** Attempts that run, by their key. */
  readonly running: Map<string, AbortController>;
}

/** An entry pings every second; one that has been silent for so long is gone or paused. */
const SILENCE_LIMIT_MS = 5_000;

/** Serves the link from one entry: reads its frames to the end, one task for each order. */
export async function serveEntry(opts: ServeEntryOptions): Promise<void> {
  const { link, peer } = opts.proved;
  const session: Session = { ...opts, running: new Map() };
  const reports = ReportSender.create({
    timer: opts.context.timer,
    buildFrame: () => ({
      kind: 'targets',
      reports: opts.readReports(),
      leaving: opts.context.isLeaving(),
    }),
    send: (frame) => link.send(frame),
  });
  let heardAtMs = opts.context.timer.nowMs();
  const cancelReports = opts.context.timer.every({
    intervalMs: opts.reportIntervalMs,
    notify: () => {
      if (opts.context.timer.nowMs() - heardAtMs > SILENCE_LIMIT_MS) {
        link.close();
      }
      reports.sendIfDue();
    },
  });
  opts.logger({ message: `Entry ${peer.nodeName} has opened a link.` });
  opts.exchange.addLink(link);
  reports.sendIfDue();
  opts.news.initialFrames().forEach((frame) => link.send(frame));
  try {
    for await (const frame of link.read()) {
      heardAtMs = opts.context.timer.nowMs();
      takeFrame(session, frame);
    }
  } finally {
    cancelReports();
    opts.exchange.removeLink(link);
    session.running.forEach((cancel) => {
      cancel.abort();
    });
    opts.logger({ message: `The link from entry ${peer.nodeName} has ended.` });
  }
}

function takeFrame(session: Session, frame: NodeFrame): void {
  const { context, proved } = session;
  switch (frame.kind) {
    case 'stage-run':
      startOrder(session, frame.order);
      break;
    case 'stage-cancel':
      session.running.get(keyOf(frame.attempt))?.abort();
      break;
    case 'crashes':
    case 'versions-stopped':
      session.news.handleFrame(frame);
      break;
    case 'offer-ask':
    case 'offer':
    case 'shard-ask':
    case 'shard':
      session.exchange.handleFrame(proved.link, frame);
      break;
    case 'ping':
      proved.link.send({ kind: 'pong', revision: context.readConfiguration().revision });
      break;
    default:
      session.logger({ message: `${proved.peer.nodeName} sent a frame of kind ${frame.kind}.` });
  }
}

function startOrder(session: Session, order: StageRequest): void {
  const { running, context } = session;
  const key = keyOf(order);
  if (running.has(key)) {
    // The same attempt again would be a second run.
    return;
  }
  const cancel = new AbortController();
  running.set(key, cancel);
  context.tasks.start(() =>
    answerOrder(session, order, cancel.signal).finally(() => running.delete(key)),
  );
}

async function answerOrder(
  { proved, context }: Session,
  order: StageRequest,
  signal: AbortSignal,
): Promise<void> {
  const { requestId, stageIndex } = order;
  const attempt: AttemptId = { requestId, stageIndex, attempt: order.attempt };
  const onPart = (part: StagePart): void => {
    proved.link.send({ kind: 'stage-part', attempt, part });
  };
  const end = await runStageRequest({ context, request: order, signal, onPart });
  proved.link.send({ kind: 'stage-end', attempt, end });
}

function keyOf(attempt: AttemptId): string {
  return `${attempt.requestId}/${attempt.stageIndex}/${attempt.attempt}`;
}
