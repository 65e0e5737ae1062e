/** A router context with scripted targets, for the steps in this folder. */
import assert from 'node:assert/strict';

import type { GalenatillerError } from '@galenatiller/error';
import { createResponseMemory } from '@galenatiller/http';
import type { LoggedEvent } from '@galenatiller/logger';
import {
  ColdRateLimiter,
  CrashSuspects,
  RetryBudget,
  TargetDirectory,
  type TargetNoticeEvent,
  TargetHealth,
  TargetLoads,
  TargetNotices,
  toTargetStart,
} from '@galenatiller/target';
import type { ManualClock, TimerService } from '@galenatiller/timer';
import type {
  PieceFailure,
  RegisteredTarget,
  RouteConfig,
  RoutedCall,
  RouterConfig,
} from '@galenatiller/types';
import { Result } from 'true-myth';

import { CallCounter } from '../src/callCounter.js';
import { CrashDetector } from '../src/crashDetector.js';
import { createDurations } from '../src/createDurations.js';
import type {
  CallerExchange,
  ResponseHead,
  SendCallOptions,
  SenderState,
  SendResult,
} from '../src/ports.js';
import type { RouterContext } from '../src/routerContext.js';
import type { RouteTable } from '../src/routeTable.js';
import { SenderChecks } from '../src/senderChecks.js';
import { serveCall } from '../src/serveCall.js';
import { CALLER_LIMITS, createStageService } from './testLimits.js';
import { type AdmissionInputs, createTestAdmission } from './testAdmission.js';
import { createTestRollouts } from './testRollouts.js';

export { createChunks, createEvents, respond, streamEvents } from './scriptedResponses.js';

export type SendScript = (opts: SendCallOptions) => SendResult | Promise<SendResult>;

interface ReceivedResponse {
  head?: ResponseHead;
  refusal?: GalenatillerError;
  /** Time from the call to its refusal. */
  refusedAfterMs?: number;
  bytes: string;
  /** What was written, write by write. */
  readonly writes: string[];
  isEnded: boolean;
  isAborted: boolean;
  readonly disconnect: AbortController;
}

export interface RouterWorld extends AdmissionInputs {
  routerClock: ManualClock;
  routerTimer: TimerService;
  context: RouterContext;
  routes: RouteTable;
  evidenceAgeMs: number;
  maxRetries: number;
  /** Ids of the targets; `a` and `b` by default. */
  targetIds: readonly string[] | undefined;
  /** Whether probes find no process at the address of a target. */
  isTargetGone: boolean;
  /** Answer to the question who a target is; by default, that it runs unless it is gone. */
  senderState?: SenderState;
  /** Whether the caller's protocol has chunks; unset if it has. */
  hasChunks?: boolean;
  /** Number of checks whether the process of a target still runs. */
  probes: number;
  noticeEvents: TargetNoticeEvent[];
  scripts: SendScript[];
  fallback: SendScript;
  sends: SendCallOptions[];
  /** Bytes that were read of response bodies without end. */
  readBytes: number;
  received: ReceivedResponse;
  /** Log lines of the calls. */
  logged: LoggedEvent[];
  pieceInputs: (readonly string[])[];
  resultHandles: string[];
  freedHandles: string[];
  /** Organisations of the requests that were counted; undefined where a test is not about them. */
  counted?: string[];
  /** Reason that every piece fails with; undefined when none fails. */
  pieceFailure: PieceFailure | undefined;
}

export const CALL: RoutedCall = {
  requestId: 'request',
  method: 'POST',
  host: 'shop.example:80',
  path: '/safe/x',
  bearerKey: 'key',
  callerTimeoutMs: 1_500,
  promptParts: [],
  promptTokens: 0,
  outputTokens: 0,
  stagePieces: [],
  pieceKey: 'piece-key',
  lastEventId: '',
  passedHeaders: [],
};

export const BASE_ROUTE: RouteConfig = {
  name: 'base',
  host: 'shop.example',
  pathPrefix: '/',
  callKind: 'idempotent',
  timeoutMs: 800,
  latencyObjectiveMs: 150,
  firstByteTimeoutMs: 2_000,
  priority: 1,
  destinations: [{ service: 'service', weight: 1 }],
  maxAttempts: 2,
  stages: [],
  isPublic: false,
  isResumable: false,
};

function createRoute(name: string, changes: Partial<RouteConfig>): RouteConfig {
  return { ...BASE_ROUTE, name, pathPrefix: `/${name}/`, ...changes };
}

export const CONFIGURATION: RouterConfig = {
  version: 7,
  routes: [
    createRoute('safe', {}),
    createRoute('order', { callKind: 'at-most-once' }),
    createRoute('deep', { pathPrefix: '/order/deep/', callKind: 'at-most-once' }),
    createRoute('stream', { callKind: 'stream' }),
    createRoute('resumable', { callKind: 'stream', isResumable: true }),
    createRoute('staged', {
      callKind: 'at-most-once',
      stages: [
        { service: 'stage', dependsOn: [], resultBytes: 10 },
        { service: 'stage', dependsOn: [0], resultBytes: 10 },
      ],
    }),
  ],
  invalidRoutes: [],
  unreadable: [],
  services: [createStageService(0)],
  organisations: [{ name: 'shop', bearerKeys: ['key'], priority: undefined }],
  callerLimits: CALLER_LIMITS,
};

export function createTarget(id: string, startedWallMs = 1): RegisteredTarget {
  return {
    id,
    startedWallMs,
    service: 'service',
    address: `10.0.0.1:${id.charCodeAt(0)}`,
    availabilityZone: 'zone',
    version: 'v1',
    slots: 4,
    state: 'ready',
  };
}

/** Creates notices that tell nobody about what targets say. */
export function createSilentNotices(timer: TimerService): TargetNotices {
  return TargetNotices.create({ timer, random: () => 0.5, share: () => {}, onEvent: () => {} });
}

export function createContext(world: RouterWorld): RouterContext {
  const timer = world.routerTimer;
  const targets = TargetDirectory.create({ timer, onChange: () => {} });
  (world.targetIds ?? ['a', 'b']).forEach((id) =>
    targets.put({ id, target: createTarget(id), storeRevision: 1 }),
  );
  const notices = TargetNotices.create({
    timer,
    random: () => 0.5,
    share: () => {},
    onEvent: (event) => world.noticeEvents.push(event),
  });
  return {
    timer,
    log: (fields) => {
      world.logged.push(fields);
    },
    metrics: { count: () => {}, gauge: () => {}, timing: () => {} },
    loopLag: { meanMs: 0 },
    ownZone: 'zone',
    routes: world.routes,
    targets,
    health: TargetHealth.create({ timer, onEvent: () => {} }),
    notices,
    loads: TargetLoads.create({ timer, onEvent: () => {} }),
    coldRateLimiter: ColdRateLimiter.create({
      timer,
      nodeCount: () => 1,
      overFactor: 1,
      slackRequests: 0,
    }),
    retryBudget: RetryBudget.create({
      timer,
      windowMs: 10_000,
      ratio: 0,
      // A budget uses only a share of 0.8 of its slack.
      slackRetries: world.maxRetries / 0.8,
      nodeCount: () => 1,
      hasWholeShare: () => true,
    }),
    ...createTestAdmission(world),
    countRequest: (organisation) => world.counted?.push(organisation),
    inFlight: CallCounter.create(),
    waiting: CallCounter.create(),
    obtainPermit: () => Promise.resolve(false),
    ...createDurations(),
    targetClient: {
      sendCall: async (opts) => {
        world.sends.push(opts);
        const script = world.scripts.shift() ?? world.fallback;
        return script(opts);
      },
      runPieces: () => Promise.reject(new Error('not used')),
      freeResults: async () => undefined,
      probe: async () => 'connected',
      identify: () => Promise.reject(new Error('not used')),
    },
    rollouts: createTestRollouts(timer),
    crashDetector: CrashDetector.create({
      probe: () => {
        world.probes += 1;
        return Promise.resolve(world.isTargetGone ? 'refused' : 'connected');
      },
      mayProbe: (target) => notices.tryProbe(toTargetStart(target)),
    }),
    senderChecks: SenderChecks.create({
      timer,
      ask: () => {
        world.probes += 1;
        return Promise.resolve(world.senderState ?? (world.isTargetGone ? 'gone' : 'same-start'));
      },
      mayAsk: (target) => notices.tryProbe(toTargetStart(target)),
    }),
    bodyMemory: createResponseMemory(),
    crashSuspects: CrashSuspects.create({ timer, share: () => {}, onStopped: () => {} }),
    submitPiece: ({ piece }) => {
      world.pieceInputs[piece.stage] = piece.inputs;
      if (world.pieceFailure) {
        return Promise.resolve({ kind: 'failed', reason: world.pieceFailure });
      }
      const handle = `10.0.0.2:1/${piece.stage}-${piece.piece}-${world.resultHandles.length}`;
      world.resultHandles.push(handle);
      return Promise.resolve({ kind: 'made', handle });
    },
    freeResults: (handles) => world.freedHandles.push(...handles),
    evidenceAgeMs: () => world.evidenceAgeMs,
    keyAgeLimitMs: 5_000,
    hash: (text) => text.length,
    random: () => 0.5,
  };
}

function createExchange(world: RouterWorld, changes: Partial<RoutedCall>): CallerExchange {
  const received: ReceivedResponse = {
    bytes: '',
    writes: [],
    isEnded: false,
    isAborted: false,
    disconnect: new AbortController(),
  };
  world.received = received;
  const receivedAtMs = world.routerTimer.nowMs();
  return {
    call: { ...CALL, ...changes },
    receivedAtMs,
    disconnected: received.disconnect.signal,
    readBody: () => Promise.resolve(Result.ok(Buffer.from('body'))),
    release: () => {},
    refuse: (error) => {
      assert.equal(received.head, undefined, 'a refusal after the head of a response');
      received.refusal = error;
      received.refusedAfterMs = world.routerTimer.nowMs() - receivedAtMs;
    },
    hasChunks: world.hasChunks ?? true,
    whenNext: () => Promise.resolve(),
    writeHead: (head) => {
      assert.equal(received.head, undefined, 'a second head');
      received.head = head;
    },
    write: (parts) => {
      const text = Buffer.concat(parts).toString();
      received.bytes += text;
      received.writes.push(text);
      return Promise.resolve();
    },
    end: () => {
      received.isEnded = true;
    },
    abort: () => {
      received.isAborted = true;
    },
  };
}

/** Starts a call. */
export function startCall(world: RouterWorld, changes: Partial<RoutedCall>): void {
  const exchange = createExchange(world, changes);
  serveCall({ context: world.context, exchange }).catch((error: unknown) => {
    throw error;
  });
}

export function makeCall(world: RouterWorld, changes: Partial<RoutedCall>): Promise<void> {
  startCall(world, changes);
  return world.routerClock.advance({ byMs: 400 });
}
