import { setMaxListeners } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';

import type { RelayRequest, RelayResponse } from '@galenatiller/store';
import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type {
  CrashEvidence,
  LeavingEvidence,
  LoadUpdate,
  PieceResult,
  PieceUrgency,
  PriorityWait,
  RolloutDecision,
  RolloutEvidence,
  StagePiece,
  UsageUpdate,
} from '@galenatiller/types';

import { LINK_VERSION } from './followRouter.js';
import type { ShardPiece } from './pieceOrders.js';
import type {
  OrderedUrgency,
  PieceOrderFrame,
  ReadRequestFrame,
  RouterFrame,
} from './routerFrames.js';
import { RouterSocket } from './routerSocket.js';

/** Functions that a router runs for its peers. */
export interface PeerService {
  /** Has a piece run by a worker of a shard. */
  readonly runPiece: (opts: ShardPiece) => Promise<PieceResult>;
  /** Time that a new piece would wait for a worker of a shard. */
  readonly waitMs: (opts: { readonly service: string; readonly shard: string }) => number;
  /** How long new pieces wait for the workers of a shard, by priority. */
  readonly waits: (opts: {
    readonly service: string;
    readonly shard: string;
  }) => readonly PriorityWait[];
  /** Pieces that each of so many peers may have in progress here; Infinity without a limit. */
  readonly maxPieces: (peers: number) => number;
  readonly free: (handles: readonly string[]) => void;
  readonly mergeCrashEvidence: (evidence: readonly CrashEvidence[]) => void;
  readonly mergeLeavingEvidence: (evidence: readonly LeavingEvidence[]) => void;
  /** Adds evidence to the rollouts that this router owns. */
  readonly addRolloutEvidence: (evidence: readonly RolloutEvidence[]) => void;
  readonly endRollout: (decision: RolloutDecision) => void;
  /** Whether one more send to a target is granted to a peer. */
  readonly tryGrantPermit: (opts: {
    readonly service: string;
    readonly address: string;
  }) => boolean;
  /** Takes what a peer has counted. */
  readonly addUsage: (update: UsageUpdate) => void;
  /** Takes how busy a peer sees the workers. */
  readonly addLoad: (update: LoadUpdate) => void;
  /** Responds with what this router has read from the store. */
  readonly readRelayed: (opts: {
    readonly request: RelayRequest;
    readonly signal: AbortSignal;
  }) => Promise<RelayResponse>;
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
  const links = new Set<AcceptedLink>();
  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    opts.tasks.start(() => serveLink(opts, links, RouterSocket.create({ socket })));
  });
  await listen(server, opts.address);
  return {
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/** A link from another router. */
interface AcceptedLink {
  readonly socket: RouterSocket;
  /** The pieces in progress, by order id, and what cancels them. */
  readonly running: Map<number, AbortController>;
  /** Pieces that have begun since the last frame about them. */
  readonly begun: number[];
  /** Aborts when the link has ended. */
  readonly closed: AbortController;
}

/** The task of one link: reads piece orders and starts a task for each piece. */
async function serveLink(
  opts: AcceptRoutersOptions,
  links: Set<AcceptedLink>,
  socket: RouterSocket,
): Promise<void> {
  const link: AcceptedLink = {
    socket,
    running: new Map(),
    begun: [],
    closed: new AbortController(),
  };
  // Each read in progress listens for the end of the link.
  setMaxListeners(0, link.closed.signal);
  let isHelloReceived = false;
  links.add(link);
  for await (const frame of socket.read()) {
    if (!isHelloReceived) {
      isHelloReceived = frame.kind === 'hello' && frame.linkVersion === LINK_VERSION;
      if (!isHelloReceived) {
        socket.close();
        break;
      }
      continue;
    }
    handleFrame({ ...opts, links, link }, frame);
  }
  links.delete(link);
  link.closed.abort();
  link.running.forEach((controller) => controller.abort());
}

interface HandleFrameOptions extends AcceptRoutersOptions {
  readonly links: ReadonlySet<AcceptedLink>;
  readonly link: AcceptedLink;
}

function handleFrame(opts: HandleFrameOptions, frame: RouterFrame): void {
  const { service, link } = opts;
  switch (frame.kind) {
    case 'ping':
      link.socket.send({ kind: 'pong', maxPieces: service.maxPieces(countBusy(opts.links)) });
      break;
    case 'piece-cancel':
      frame.orderIds.forEach((orderId) => link.running.get(orderId)?.abort());
      break;
    case 'piece-order':
      startPieces(opts, frame);
      break;
    case 'free':
      service.free(frame.handles);
      break;
    case 'permit-request': {
      const { requestId } = frame;
      const isGranted = service.tryGrantPermit(frame);
      link.socket.send({ kind: 'permit-response', requestId, isGranted });
      break;
    }
    case 'read-request':
      opts.tasks.start(() => respondToRead(opts, frame));
      break;
    default:
      handleEvidence(service, frame);
  }
}

/** Handles what a peer tells without being asked; other frames are not for the accepting side. */
function handleEvidence(service: PeerService, frame: RouterFrame): void {
  switch (frame.kind) {
    case 'crash-evidence':
      service.mergeCrashEvidence(frame.evidence);
      break;
    case 'leaving-evidence':
      service.mergeLeavingEvidence(frame.evidence);
      break;
    case 'rollout-evidence':
      service.addRolloutEvidence(frame.evidence);
      break;
    case 'rollout-decision':
      service.endRollout(frame.decision);
      break;
    case 'usage-counts':
      service.addUsage(frame.update);
      break;
    case 'service-load':
      service.addLoad(frame.update);
      break;
    default:
  }
}

async function respondToRead(
  { link, service }: HandleFrameOptions,
  { requestId, request }: ReadRequestFrame,
): Promise<void> {
  const response = await service.readRelayed({ request, signal: link.closed.signal });
  link.socket.send({ kind: 'read-response', requestId, response });
}

/** Number of links with pieces in progress. */
function countBusy(links: ReadonlySet<AcceptedLink>): number {
  return [...links].filter(({ running }) => running.size > 0).length;
}

/** Starts a task for each piece of an order; they are cancelled together. */
function startPieces(opts: HandleFrameOptions, frame: PieceOrderFrame): void {
  const { link, tasks, timer } = opts;
  const { service, shard } = frame;
  const controller = new AbortController();
  // Each piece in progress listens for the abort.
  setMaxListeners(0, controller.signal);
  frame.pieces.forEach(({ orderId, piece }) => {
    link.running.set(orderId, controller);
    tasks.start(async () => {
      const result = await opts.service.runPiece({
        service,
        shard,
        piece: decodePiece({ frame, piece, nowMs: timer.nowMs() }),
        signal: controller.signal,
        onBegun: frame.reportsBegun ? () => reportBegun(link, orderId) : undefined,
      });
      link.running.delete(orderId);
      const waitMs = opts.service.waitMs({ service, shard });
      const waits = opts.service.waits({ service, shard });
      link.socket.send({
        kind: 'piece-end',
        orderId,
        result,
        waitMs,
        ...(waits.length > 0 && { waits }),
      });
    });
  });
}

/** Reports a piece that has begun; the pieces of one batch call share a frame. */
function reportBegun(link: AcceptedLink, orderId: number): void {
  link.begun.push(orderId);
  if (link.begun.length === 1) {
    queueMicrotask(() => {
      const orderIds = link.begun.splice(0);
      link.socket.send({ kind: 'pieces-begun', orderIds });
    });
  }
}

function decodePiece(opts: {
  readonly frame: PieceOrderFrame;
  readonly piece: number;
  readonly nowMs: number;
}): StagePiece {
  const { frame, piece, nowMs } = opts;
  const { requestId, stage, key, inputs, resultBytes, zoneHint, priority } = frame;
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
    urgency: frame.urgency && decodeUrgency(frame.urgency, nowMs),
    fingerprint: frame.fingerprint,
  };
}

function decodeUrgency(urgency: OrderedUrgency, nowMs: number): PieceUrgency {
  const { latestStartInMs, ...rest } = urgency;
  return { ...rest, latestStartAtMs: nowMs + latestStartInMs };
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
