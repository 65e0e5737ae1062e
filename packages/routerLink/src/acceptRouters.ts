import { createServer, type Server, type Socket } from 'node:net';

import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type {
  CrashEvidence,
  LeavingEvidence,
  PieceResult,
  RolloutDecision,
  RolloutEvidence,
  StagePiece,
} from '@galenatiller/types';

import { LINK_VERSION } from './followRouter.js';
import type { PieceOrderFrame, RouterFrame } from './routerFrames.js';
import { RouterSocket } from './routerSocket.js';

/** Functions that a router runs for its peers. */
export interface PeerService {
  /** Has a piece run by a worker of a service that this router owns. */
  readonly runPiece: (opts: {
    readonly service: string;
    readonly piece: StagePiece;
    readonly signal: AbortSignal;
  }) => Promise<PieceResult>;
  readonly free: (handles: readonly string[]) => void;
  readonly mergeCrashEvidence: (evidence: readonly CrashEvidence[]) => void;
  readonly mergeLeavingEvidence: (evidence: readonly LeavingEvidence[]) => void;
  /** Adds evidence to the rollouts that this router owns. */
  readonly addRolloutEvidence: (evidence: readonly RolloutEvidence[]) => void;
  readonly endRollout: (decision: RolloutDecision) => void;
}

/** Options of {@link acceptRouters}. */
export interface AcceptRoutersOptions {
  /** IP:PORT. */
  readonly address: string;
  readonly timer: TimerService;
  readonly tasks: TaskGroup;
  readonly service: PeerService;
}

/** Listens for links from other routers and runs one task for each. */
export async function acceptRouters(opts: AcceptRoutersOptions): Promise<{ close: () => void }> {
  const sockets = new Set<Socket>();
  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    opts.tasks.start(() => serveLink(opts, RouterSocket.create({ socket })));
  });
  await listen(server, opts.address);
  return {
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/** The task of one link: reads piece orders and starts a task for each. */
async function serveLink(opts: AcceptRoutersOptions, socket: RouterSocket): Promise<void> {
  const running = new Map<number, AbortController>();
  let isHelloReceived = false;
  for await (const frame of socket.read()) {
    if (!isHelloReceived) {
      isHelloReceived = frame.kind === 'hello' && frame.linkVersion === LINK_VERSION;
      if (!isHelloReceived) {
        socket.close();
        return;
      }
      continue;
    }
    handleFrame(opts, { socket, running, frame });
  }
  running.forEach((controller) => controller.abort());
}

function handleFrame(
  opts: AcceptRoutersOptions,
  link: {
    readonly socket: RouterSocket;
    readonly running: Map<number, AbortController>;
    readonly frame: RouterFrame;
  },
): void {
  const { socket, running, frame } = link;
  if (frame.kind === 'ping') {
    socket.send({ kind: 'pong' });
  }
  if (frame.kind === 'piece-cancel') {
    running.get(frame.orderId)?.abort();
  }
  if (frame.kind === 'free') {
    opts.service.free(frame.handles);
  }
  if (frame.kind === 'crash-evidence') {
    opts.service.mergeCrashEvidence(frame.evidence);
  }
  if (frame.kind === 'leaving-evidence') {
    opts.service.mergeLeavingEvidence(frame.evidence);
  }
  if (frame.kind === 'rollout-evidence') {
    opts.service.addRolloutEvidence(frame.evidence);
  }
  if (frame.kind === 'rollout-decision') {
    opts.service.endRollout(frame.decision);
  }
  if (frame.kind === 'piece-order') {
    const controller = new AbortController();
    running.set(frame.orderId, controller);
    opts.tasks.start(async () => {
      const result = await opts.service.runPiece({
        service: frame.service,
        piece: decodePiece(frame, opts.timer.nowMs()),
        signal: controller.signal,
      });
      running.delete(frame.orderId);
      socket.send({ kind: 'piece-end', orderId: frame.orderId, result });
    });
  }
}

function decodePiece(frame: PieceOrderFrame, nowMs: number): StagePiece {
  const { requestId, stage, piece, key, inputs, resultBytes, zoneHint, priority } = frame;
  return {
    requestId,
    stage,
    piece,
    key,
    inputs,
    resultBytes,
    zoneHint,
    priority,
    deadlineAtMs: nowMs + frame.deadlineInMs,
    dueAtMs: nowMs + frame.dueInMs,
    zoneWaitUntilMs: nowMs + frame.zoneWaitInMs,
    inputsExpireAtMs: nowMs + frame.inputsExpireInMs,
  };
}

function listen(server: Server, address: string): Promise<void> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
