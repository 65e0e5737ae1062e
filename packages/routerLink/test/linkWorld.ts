/** A router that owns a service, and a peer with a link to it, shared by the steps in this folder. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';

import type { PeerRouter } from '@galenatiller/routerLink';
import type { RelayRequest, RelayResponse } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import type {
  CrashEvidence,
  LeavingEvidence,
  LoadUpdate,
  PieceResult,
  RolloutDecision,
  RolloutEvidence,
  StagePiece,
  UsageUpdate,
  PriorityWait,
} from '@galenatiller/types';

const OUTLINE = { digest: Buffer.alloc(32, 1), parts: Buffer.alloc(48, 2) };

const READ = { storeRevision: 9, era: 3, ageMs: 40.5, heldMs: 7, hasMore: false };

/** A response to each kind of read. */
export const RELAYED: Readonly<Record<RelayRequest['kind'], RelayResponse>> = {
  entries: {
    kind: 'entries',
    entries: [
      { key: 'p/a', value: Buffer.from('a'), revision: 8 },
      { key: 'p/large', outline: OUTLINE, revision: 9 },
    ],
    ...READ,
    hasMore: true,
  },
  changes: {
    kind: 'changes',
    changes: [
      { kind: 'put', entry: { key: 'p/a', value: Buffer.from('a'), revision: 8 } },
      { kind: 'put', entry: { key: 'p/large', outline: OUTLINE, revision: 8 } },
      { kind: 'delete', key: 'p/b', revision: 9 },
    ],
    ...READ,
  },
  parts: { kind: 'parts', parts: [Buffer.from('part'), Buffer.alloc(9)] },
};

/** A request for each kind of read. */
export const RELAY_REQUESTS: Readonly<Record<RelayRequest['kind'], RelayRequest>> = {
  entries: { kind: 'entries', prefix: 'p/', afterKey: 'p/a' },
  changes: { kind: 'changes', prefix: 'p/', afterRevision: 7, waitMs: 1_000 },
  parts: { kind: 'parts', prefix: 'p/', digests: ['00', 'ff'] },
};

interface OrderAtOwner {
  readonly piece: StagePiece;
  readonly signal: AbortSignal;
  readonly settle: (result: PieceResult) => void;
  readonly onBegun: (() => void) | undefined;
}

export interface LinkWorld {
  linkTimer: TimerService;
  linkAddress: string;
  owner: { close: () => void };
  peer: PeerRouter;
  stopPeer: AbortController;
  ordersAtOwner: OrderAtOwner[];
  waitsAtOwner: readonly PriorityWait[];
  freedAtOwner: string[];
  begunAtPeer: number;
  cancelOrder: AbortController;
  peerResult: Promise<PieceResult | undefined>;
  orderedAtMs: number;
  closedLinks: number;
  writes: Buffer[];
  evidenceAtOwner: readonly CrashEvidence[] | undefined;
  leavingAtOwner: readonly LeavingEvidence[] | undefined;
  rolloutEvidenceAtOwner: readonly RolloutEvidence[] | undefined;
  decisionAtOwner: RolloutDecision | undefined;
  usageAtOwner: UsageUpdate | undefined;
  loadAtOwner: LoadUpdate | undefined;
  requestAtOwner: RelayRequest;
  relayed: RelayResponse | undefined;
  maxPiecesAtOwner: number;
}

export const MAX_WAIT_MS = 4_000;
const POLL_MS = 10;

export async function waitUntil(isTrue: () => boolean, what: string): Promise<void> {
  for (let waitedMs = 0; !isTrue(); waitedMs += POLL_MS) {
    assert.ok(waitedMs < MAX_WAIT_MS, what);
    await pause();
  }
}

function pause(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, POLL_MS);
  });
}

export async function findFreeAddress(): Promise<string> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const bound = server.address();
  server.close();
  return `127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`;
}

export function orderPiece(
  world: LinkWorld,
  changes: { dueInMs: number; deadlineInMs: number; startInMs?: number; onBegun?: () => void },
): void {
  world.cancelOrder = new AbortController();
  world.orderedAtMs = world.linkTimer.nowMs();
  world.peerResult = world.peer.submitPiece({
    service: 'stage',
    shard: 'stage/0',
    signal: world.cancelOrder.signal,
    onBegun: changes.onBegun,
    piece: {
      requestId: 'request',
      stage: 1,
      piece: 2,
      key: '',
      inputs: ['10.0.0.9:1/x'],
      inputsExpireAtMs: Infinity,
      resultBytes: 8,
      zoneHint: 'zone',
      zoneWaitUntilMs: 0,
      deadlineAtMs: world.orderedAtMs + changes.deadlineInMs,
      dueAtMs: world.orderedAtMs + changes.dueInMs,
      priority: 1,
      fingerprint: 'stage 0 content',
      ...(changes.startInMs !== undefined && {
        urgency: {
          latestStartAtMs: world.orderedAtMs + changes.startInMs,
          remainingMs: 70,
          hasBegun: true,
          organisation: 'shop',
        },
      }),
    },
  });
}
