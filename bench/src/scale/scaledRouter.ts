import { createRouter, type Router, type SendResult } from '@galenatiller/router';
import { readRouterSettings } from '@galenatiller/settings';
import { StatedEra } from '@galenatiller/store';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { RegisteredTarget, RoutedCall, RouterConfig } from '@galenatiller/types';
import { Result } from 'true-myth';
import createXxhash from 'xxhash-wasm';

import { ScriptedStore } from './scriptedStore.js';

const { h32 } = await createXxhash();

/** Work that a router has done, counted without a clock. */
export interface CountedWork {
  /** Reads of the id or the service of a target; each visit of a target needs one. */
  visits: number;
  hashes: number;
  decodes: number;
  logCharacters: number;
}

const CALL_SERVICES = 7;
const STAGE_SERVICES = 3;
/** Services over which the targets are spread. */
export const SERVICES = CALL_SERVICES + STAGE_SERVICES;
const ZONES = 3;
const SLOTS = 4;
const CHANGED_SLOTS = 5;
const MEMBERS = 'galenatiller/members/';
const TARGETS = 'servers/';
/** The router listens for links, but nobody opens one. */
const ANY_PORT = '127.0.0.1:0';
const HOST = 'shop.example';
const SETTINGS = `
[node]
name = router-0
availability-zone = zone-0
[caller]
listen = 127.0.0.1:9
listen-ready = 127.0.0.1:10
[store]
address = 127.0.0.1:1
[link]
listen = 127.0.0.1:9
`;
const SERVICE_NAMES = Array.from({ length: SERVICES }, (_, index) =>
  index < CALL_SERVICES ? `call-${index}` : `stage-${index}`,
);
const CONFIGURATION: RouterConfig = {
  version: 1,
  routes: SERVICE_NAMES.slice(0, CALL_SERVICES).map((service) => ({
    name: service,
    host: HOST,
    pathPrefix: `/${service}/`,
    callKind: 'idempotent',
    timeoutMs: 2_000,
    latencyObjectiveMs: 500,
    firstByteTimeoutMs: 2_000,
    priority: 1,
    destinations: [{ service, weight: 1 }],
    maxAttempts: 2,
    stages: [],
    isPublic: true,
    isResumable: false,
  })),
  services: SERVICE_NAMES.map((name, index) => ({
    name,
    maxColdRequestsPerSecond: 29,
    batch:
      index < CALL_SERVICES
        ? undefined
        : {
            maxPieces: 32,
            callOverheadMs: 200,
            pieceMs: 5,
            resultMemoryBytes: 1_000_000_000,
            resultTtlMs: 4_000,
          },
  })),
  invalidRoutes: [],
  unreadable: [],
  organisations: undefined,
  callerLimits: {
    maxHeaderBytes: 8_192,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  },
};

/** A whole router on a store in memory, without callers, targets and links. */
export class ScaledRouter {
  readonly work: CountedWork = { visits: 0, hashes: 0, decodes: 0, logCharacters: 0 };

  private readonly clock = ManualClock.create({ startWallMs: 1_000_000 });

  private readonly store = ScriptedStore.create();

  private readonly router: Router;

  private readonly stop = new AbortController();

  private sent = 0;

  private constructor(private readonly isCounting: boolean) {
    this.router = this.createRouter();
  }

  /** Starts a router that knows so many targets and routers. */
  static async start(opts: {
    readonly targets: number;
    readonly routers: number;
    /** Whether visits are counted, which takes CPU time itself. */
    readonly isCounting: boolean;
  }): Promise<ScaledRouter> {
    const scaled = new ScaledRouter(opts.isCounting);
    const { store, clock } = scaled;
    const targets = Array.from({ length: opts.targets }, (_, index) => createTargetEntry(index));
    const members = Array.from({ length: opts.routers }, (_, index) => createMemberEntry(index));
    store.write('op/', new Map([['op/config', '']]));
    store.write(TARGETS, new Map(targets));
    store.write(MEMBERS, new Map(members));
    scaled.router.run({ signal: scaled.stop.signal }).catch((error: unknown) => {
      throw error;
    });
    await clock.advance({ byMs: 10_000 });
    // The first write of each entry after a read of all counts as a change.
    await scaled.heartbeat(targets.map((_, index) => index));
    return scaled;
  }

  /** Lets the targets write their entries again, unchanged. */
  async heartbeat(indexes: readonly number[]): Promise<void> {
    await this.write(TARGETS, new Map(indexes.map((index) => createTargetEntry(index))));
  }

  /** Lets a target write its entry with another number of slots. */
  async changeSlots(index: number): Promise<void> {
    await this.write(TARGETS, new Map([createTargetEntry(index, CHANGED_SLOTS)]));
  }

  /** Registers new targets, all at once. */
  async addTargets(indexes: readonly number[]): Promise<void> {
    await this.heartbeat(indexes);
  }

  /** Removes targets, all at once. */
  async removeTargets(indexes: readonly number[]): Promise<void> {
    const keys = indexes.map((index) => [createTargetEntry(index)[0], undefined] as const);
    await this.write(TARGETS, new Map(keys));
  }

  /** Registers routers, all at once. */
  async addRouters(indexes: readonly number[]): Promise<void> {
    await this.write(MEMBERS, new Map(indexes.map((index) => createMemberEntry(index))));
  }

  /** Serves a call; whether it was sent to a target. */
  async serveCall(index: number): Promise<boolean> {
    const before = this.sent;
    await new Promise<void>((resolve) => {
      this.router.serve({
        call: createCall(index),
        receivedAtMs: this.clock.nowMs(),
        disconnected: new AbortController().signal,
        readBody: () => Promise.resolve(Result.ok(Buffer.from('body'))),
        hasChunks: true,
        whenNext: () => Promise.resolve(),
        release: () => resolve(),
        refuse: () => resolve(),
        writeHead: () => {},
        write: () => Promise.resolve(),
        end: () => {},
        abort: () => {},
      });
    });
    return this.sent > before;
  }

  /** Lets time pass, so that neither limits of rates nor intervals of reads hold up what follows. */
  async rest(): Promise<void> {
    await this.clock.advance({ byMs: 2_000 });
  }

  /** Ends the router. */
  async end(): Promise<void> {
    this.stop.abort();
    await this.clock.advance({ byMs: 5_000 });
  }

  private async write(
    prefix: string,
    entries: ReadonlyMap<string, string | undefined>,
  ): Promise<void> {
    this.store.write(prefix, entries);
    await settle();
  }

  private createRouter(): Router {
    const { work } = this;
    const settings = readRouterSettings({ fileName: 'settings', text: SETTINGS }).unwrapOrElse(
      (problems) => {
        throw new Error(JSON.stringify(problems));
      },
    );
    return createRouter({
      settings: { ...settings, linkAddress: ANY_PORT },
      timer: TimerService.create({ clock: this.clock }),
      log: (fields) => {
        work.logCharacters += JSON.stringify(fields).length;
      },
      metrics: { count: () => {}, gauge: () => {}, timing: () => {} },
      source: this.store.source,
      leases: this.store.leases,
      storeEra: StatedEra.create({ onEvent: () => {} }),
      writeIfUnchanged: () => Promise.resolve(Result.ok('written')),
      operatorEntries: {
        prefix: 'op/',
        decode: () => ({ kind: 'configuration', configuration: CONFIGURATION }),
        zoneOfKey: () => undefined,
      },
      targetEntries: {
        prefix: TARGETS,
        decode: ({ key, value, revision: storeRevision }) => {
          work.decodes += 1;
          const id = key.slice(TARGETS.length);
          return { id, target: this.decodeTarget(value.toString()), storeRevision };
        },
        idOfKey: (key) => key.slice(TARGETS.length),
      },
      rolloutStatusEntries: {
        prefix: 'status/',
        decode: () => undefined,
        encode: () => ({ key: 'status/', value: Buffer.alloc(0) }),
      },
      targetClient: {
        sendCall: () => {
          this.sent += 1;
          return Promise.resolve(createResponse());
        },
        runPieces: () => Promise.reject(new Error('not used')),
        freeResults: () => Promise.resolve(undefined),
        probe: () => Promise.resolve('connected'),
        identify: async () => ({ state: 'same-start' }),
      },
      hash: (text) => {
        work.hashes += 1;
        return h32(text);
      },
      random: () => 0.5,
    });
  }

  private decodeTarget(text: string): RegisteredTarget {
    const target = JSON.parse(text) as RegisteredTarget;
    if (!this.isCounting) {
      return target;
    }
    const { id, service } = target;
    const count = (value: string) => (): string => {
      this.work.visits += 1;
      return value;
    };
    return Object.defineProperties(target, {
      id: { get: count(id), enumerable: true },
      service: { get: count(service), enumerable: true },
    });
  }
}

function createTargetEntry(index: number, slots = SLOTS): readonly [string, string] {
  const target: RegisteredTarget = {
    id: `worker-${index}`,
    startedWallMs: 1,
    service: SERVICE_NAMES[index % SERVICES] ?? '',
    address: `10.${Math.floor(index / 250)}.0.${index % 250}:8000`,
    availabilityZone: `zone-${Math.floor(index / SERVICES) % ZONES}`,
    version: 'v1',
    slots,
    state: 'ready',
  };
  return [`${TARGETS}${target.id}`, JSON.stringify(target)];
}

/** A member without a usable address, so that no link to it is opened. */
function createMemberEntry(index: number): readonly [string, string] {
  return [`${MEMBERS}router-${index}`, `none 1 staying zone-${index % ZONES}`];
}

function createCall(index: number): RoutedCall {
  return {
    requestId: `request-${index}`,
    method: 'POST',
    host: HOST,
    path: `/${SERVICE_NAMES[index % CALL_SERVICES] ?? ''}/x`,
    bearerKey: '',
    callerTimeoutMs: 0,
    promptParts: [
      { id: `shared-${index % (CALL_SERVICES * 3)}`, tokens: 100 },
      { id: `own-${index}`, tokens: 10 },
    ],
    promptTokens: 110,
    outputTokens: 1,
    stagePieces: [],
    pieceKey: '',
    lastEventId: '',
    passedHeaders: [],
  };
}

function createResponse(): SendResult {
  return {
    kind: 'answered',
    status: 200,
    isSealed: true,
    isEventStream: false,
    passedHeaders: [],
    bodyEnd: 'length',
    body: createBody(),
    discard: () => {},
  };
}

async function* createBody(): AsyncGenerator<Buffer> {
  yield Buffer.from('answer');
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
