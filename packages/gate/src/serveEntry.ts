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
  readonly authenticated: AuthenticatedLink;
  readonly context: GateContext;
  readonly listReports: () => readonly TargetReport[];
  /** Interval at which the reports are checked for changes. */
  readonly checkIntervalMs: number;
  readonly gossip: NodeGossip;
  readonly exchange: ConfigurationExchange;
  readonly logger: Logger;
}

interface Session extends ServeEntryOptions {
  /** Running attempts by attempt key. */
  readonly running: Map<string, AbortController>;
}

/** Entries ping every second; one that is silent for longer is gone or paused. */
const MAX_SILENCE_MS = 5_000;

/** Serves the link from one entry until it closes, with one task per stage request. */
export async function serveEntry(opts: ServeEntryOptions): Promise<void> {
  const { link, peer } = opts.authenticated;
  const session: Session = { ...opts, running: new Map() };
  const reports = ReportSender.create({
    timer: opts.context.timer,
    buildFrame: () => ({
      kind: 'targets',
      reports: opts.listReports(),
      leaving: opts.context.shutdown.hasBegun,
    }),
    send: (frame) => link.send(frame),
  });
  let lastFrameAtMs = opts.context.timer.nowMs();
  const cancelReports = opts.context.timer.every({
    intervalMs: opts.checkIntervalMs,
    notify: () => {
      if (opts.context.timer.nowMs() - lastFrameAtMs > MAX_SILENCE_MS) {
        link.close();
      }
      reports.sendIfDue();
    },
  });
  opts.logger({ message: `Entry ${peer.nodeName} opened a link.` });
  opts.exchange.addLink(link);
  reports.sendIfDue();
  opts.gossip.initialFrames().forEach((frame) => link.send(frame));
  try {
    for await (const frame of link.read()) {
      lastFrameAtMs = opts.context.timer.nowMs();
      handleFrame(session, frame);
    }
  } finally {
    cancelReports();
    opts.exchange.removeLink(link);
    session.running.forEach((cancel) => {
      cancel.abort();
    });
    opts.logger({ message: `Link from entry ${peer.nodeName} closed.` });
  }
}

function handleFrame(session: Session, frame: NodeFrame): void {
  const { context, authenticated } = session;
  switch (frame.kind) {
    case 'stage-run':
      startRequest(session, frame.order);
      break;
    case 'stage-cancel':
      session.running.get(toAttemptKey(frame.attempt))?.abort();
      break;
    case 'crashes':
    case 'versions-stopped':
      session.gossip.handleFrame(frame);
      break;
    case 'offer-ask':
    case 'offer':
    case 'shard-ask':
    case 'shard':
      session.exchange.handleFrame(authenticated.link, frame);
      break;
    case 'ping':
      authenticated.link.send({ kind: 'pong', revision: context.readConfiguration().revision });
      break;
    default:
      session.logger({
        message: `Ignored frame from ${authenticated.peer.nodeName}: unexpected kind ${frame.kind}.`,
      });
  }
}

function startRequest(session: Session, request: StageRequest): void {
  const { running, context } = session;
  const key = toAttemptKey(request);
  if (running.has(key)) {
    // Starting the same attempt again would run the stage twice.
    return;
  }
  const cancel = new AbortController();
  running.set(key, cancel);
  context.tasks.start(() =>
    runAndRespond(session, request, cancel.signal).finally(() => running.delete(key)),
  );
}

async function runAndRespond(
  { authenticated, context }: Session,
  request: StageRequest,
  signal: AbortSignal,
): Promise<void> {
  const { requestId, stageIndex } = request;
  const attempt: AttemptId = { requestId, stageIndex, attempt: request.attempt };
  const onPart = (part: StagePart): void => {
    authenticated.link.send({ kind: 'stage-part', attempt, part });
  };
  const end = await runStageRequest({ context, request, signal, onPart });
  authenticated.link.send({ kind: 'stage-end', attempt, end });
}

function toAttemptKey(attempt: AttemptId): string {
  return `${attempt.requestId}/${attempt.stageIndex}/${attempt.attempt}`;
}
