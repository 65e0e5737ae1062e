/** A router's context over scripted targets, for the steps beside it. */
import type { GalenatillerError } from '@galenatiller/error';
import { ColdRateLimiter, RetryBudget, TargetDirectory, TargetHealth } from '@galenatiller/target';
import { type ManualClock, SmoothedDurations, type TimerService } from '@galenatiller/timer';
import type {
  RegisteredTarget,
  PieceFailure,
  RoutedCall,
  RouterConfig,
  RouteConfig,
} from '@galenatiller/types';
import { Result } from 'true-myth';

import { CallCounter } from '../src/callCounter.js';
import type { ResponseHead, CallerExchange, SendCallOptions, SendResult } from '../src/ports.js';
import type { RouterContext } from '../src/routerContext.js';
import type { RouteTable } from '../src/routeTable.js';
import { serveCall } from '../src/serveCall.js';

export type Reply = (opts: SendCallOptions) => SendResult | Promise<SendResult>;

interface Seen {
  head?: ResponseHead;
  refusal?: GalenatillerError;
  bytes: string;
  isEnded: boolean;
  isCut: boolean;
  readonly leave: AbortController;
}

export interface RouterWorld {
  routerClock: ManualClock;
  routerTimer: TimerService;
  context: RouterContext;
  routes: RouteTable;
  evidenceAgeMs: number;
  repeatLimit: number;
  replies: Reply[];
  always: Reply;
  sends: SendCallOptions[];
  seen: Seen;
  pieceInputs: (readonly string[])[];
  made: string[];
  freed: string[];
  /** Why every piece fails; undefined when none does. */
  stagesFailAs: PieceFailure | undefined;
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

function route(name: string, changes: Partial<RouteConfig>): RouteConfig {
  return { ...BASE_ROUTE, name, pathPrefix: `/${name}/`, ...changes };
}

export const CONFIGURATION: RouterConfig = {
  version: 7,
  routes: [
    route('safe', {}),
    route('order', { callKind: 'at-most-once' }),
    route('deep', { pathPrefix: '/order/deep/', callKind: 'at-most-once' }),
    route('stream', { callKind: 'stream' }),
    route('resumable', { callKind: 'stream', isResumable: true }),
    route('staged', {
      callKind: 'at-most-once',
      stages: [
        { service: 'stage', dependsOn: [], resultBytes: 10 },
        { service: 'stage', dependsOn: [0], resultBytes: 10 },
      ],
    }),
  ],
  services: [],
  organisations: [{ name: 'shop', bearerKeys: ['key'], priority: undefined }],
  callerLimits: {
    maxHeaderBytes: 8_192,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  },
};

function listed(id: string): RegisteredTarget {
  return {
    id,
    startedWallMs: 1,
    service: 'service',
    address: `10.0.0.1:${id.charCodeAt(0)}`,
    availabilityZone: 'zone',
    version: 'v1',
    slots: 4,
    state: 'ready',
  };
}

export function answered(
  changes: Partial<Extract<SendResult, { kind: 'answered' }>> = {},
): SendResult {
  return {
    kind: 'answered',
    status: 200,
    isSealed: true,
    passedHeaders: ['X-From', 'target'],
    bodyEnd: 'length',
    body: chunks(['whole']),
    discard: () => {},
    ...changes,
  };
}

export async function* chunks(texts: readonly string[], failure?: string): AsyncGenerator<Buffer> {
  for (const text of texts) {
    yield Buffer.from(text);
  }
  if (failure !== undefined) {
    throw new Error(failure);
  }
}

export function events(from: number, to: number): string[] {
  return Array.from({ length: to - from + 1 }, (_, index) => `id: ${from + index}\ndata: x\n\n`);
}

export function stream(opts: SendCallOptions): SendResult {
  return answered({ body: chunks(events(Number(opts.lastEventId || '0') + 1, 4)) });
}

export function createContext(world: RouterWorld): RouterContext {
  const timer = world.routerTimer;
  const targets = TargetDirectory.create({ timer, onChange: () => {} });
  ['a', 'b'].forEach((id) => targets.put({ id, target: listed(id), storeRevision: 1 }));
  return {
    timer,
    log: () => {},
    metrics: { count: () => {}, gauge: () => {}, timing: () => {} },
    ownZone: 'zone',
    routes: world.routes,
    targets,
    health: TargetHealth.create({ timer, onEvent: () => {} }),
    coldShare: ColdRateLimiter.create({
      timer,
      nodeCount: () => 1,
      overFactor: 1,
      slackRequests: 0,
    }),
    repeats: RetryBudget.create({
      timer,
      windowMs: 10_000,
      ratio: 0,
      slackRetries: world.repeatLimit / 0.8,
      nodeCount: () => 1,
    }),
    inFlight: CallCounter.create(),
    responseTimes: SmoothedDurations.create(),
    targetClient: {
      sendCall: async (opts) => {
        world.sends.push(opts);
        const reply = world.replies.shift() ?? world.always;
        return reply(opts);
      },
      runPieces: () => Promise.reject(new Error('not used')),
      freeResults: () => Promise.resolve(),
    },
    submitPiece: ({ piece }) => {
      world.pieceInputs[piece.stage] = piece.inputs;
      if (world.stagesFailAs) {
        return Promise.resolve({ kind: 'failed', reason: world.stagesFailAs });
      }
      const handle = `10.0.0.2:1/${piece.stage}-${piece.piece}-${world.made.length}`;
      world.made.push(handle);
      return Promise.resolve({ kind: 'made', handle });
    },
    freeResults: (handles) => {
      world.freed.push(...handles);
    },
    evidenceAgeMs: () => world.evidenceAgeMs,
    keyAgeLimitMs: 5_000,
    hash: (text) => text.length,
    random: () => 0.5,
  };
}

function exchangeOf(world: RouterWorld, changes: Partial<RoutedCall>): CallerExchange {
  const seen: Seen = { bytes: '', isEnded: false, isCut: false, leave: new AbortController() };
  world.seen = seen;
  return {
    call: { ...CALL, ...changes },
    receivedAtMs: world.routerTimer.nowMs(),
    disconnected: seen.leave.signal,
    readBody: () => Promise.resolve(Result.ok(Buffer.from('body'))),
    refuse: (error) => {
      seen.refusal = error;
    },
    writeHead: (head) => {
      seen.head = head;
    },
    write: (bytes) => {
      seen.bytes += bytes.toString();
      return Promise.resolve();
    },
    end: () => {
      seen.isEnded = true;
    },
    abort: () => {
      seen.isCut = true;
    },
  };
}

export async function call(world: RouterWorld, changes: Partial<RoutedCall>): Promise<void> {
  const exchange = exchangeOf(world, changes);
  serveCall({ context: world.context, exchange }).catch((error: unknown) => {
    throw error;
  });
  await world.routerClock.advance({ byMs: 400 });
}
