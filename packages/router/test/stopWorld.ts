/** A stopping router on the manual clock, with random calls, targets and stage workers. */
import { TaskGroup, whenAborted } from '@galenatiller/tasks';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { PieceResult, RoutedCall } from '@galenatiller/types';
import { Result } from 'true-myth';

import type { Router } from '../src/createRouter.js';
import type { CallerExchange, SendCallOptions, SendResult } from '../src/ports.js';
import { RouteTable } from '../src/routeTable.js';
import type { SubmitPiece } from '../src/runStages.js';
import { type FrontEnd, runRouter } from '../src/runRouter.js';
import { RouterStop, type StoppedCallEvent } from '../src/routerStop.js';
import { serveCall } from '../src/serveCall.js';
import {
  BASE_ROUTE,
  CALL,
  CONFIGURATION,
  createContext,
  respond,
  type RouterWorld,
} from './support.js';

/** What the caller of one call has seen. */
export interface SeenCall {
  readonly requestId: string;
  readonly arrivedAtMs: number;
  status: number | undefined;
  retryAfterMs: number;
  hasStarted: boolean;
  /** Monotonic time of the end of its response; undefined before. */
  endedAtMs: number | undefined;
  end: 'answered' | 'refused' | 'cut' | undefined;
  isNotRun: boolean;
}

/** Behaviour of what surrounds the router. */
export interface Surroundings {
  readonly pieceMs: () => number;
  readonly sendCall: (opts: SendCallOptions, timer: TimerService) => Promise<SendResult>;
  readonly evidenceAgeMs: () => number;
  /** Time after the start at which the calls to stage workers for other routers have ended. */
  readonly batchesEndAtMs: number;
  /** Time that the connection of a caller takes to write a response. */
  readonly writeMs: number;
}

/** Options of {@link StopWorld.create}; what is left out does nothing. */
export interface StopWorldOptions {
  readonly limitMs: number;
  readonly around: Surroundings;
  readonly clock?: ManualClock;
  readonly submitPiece?: SubmitPiece;
  readonly batchesInProgress?: () => number;
  readonly onStop?: () => void;
  readonly onLeave?: () => void;
  readonly onClose?: () => void;
}

const LIMIT_MS = 20_000;

/** A router, its callers and its end. */
export class StopWorld {
  readonly clock: ManualClock;

  readonly timer: TimerService;

  readonly seen: SeenCall[] = [];

  readonly stopped: StoppedCallEvent[] = [];

  /** Ids of the calls that a target may have run, with the time of the last send. */
  readonly sentAtMs = new Map<string, number>();

  readonly ranIds = new Set<string>();

  closedAtMs: number | undefined;

  leftAtMs: number | undefined;

  private readonly stop = new AbortController();

  private isRefusing = false;

  private readonly failures: unknown[] = [];

  private readonly tasks = TaskGroup.create({ onFailure: (error) => this.failures.push(error) });

  private readonly router: Router;

  private constructor(private readonly opts: StopWorldOptions) {
    this.clock = opts.clock ?? ManualClock.create({ startWallMs: 1_000_000 });
    this.timer = TimerService.create({ clock: this.clock });
    const context = { ...this.createContext() };
    this.router = {
      context,
      duties: undefined,
      isReady: () => true,
      unreadMs: () => 0,
      serve: (exchange) => this.tasks.start(() => serveCall({ context, exchange })),
      callsInProgress: () => this.tasks.size,
      batchesInProgress:
        opts.batchesInProgress ?? (() => (this.timer.nowMs() < opts.around.batchesEndAtMs ? 1 : 0)),
      leave: () => {
        this.leftAtMs = this.timer.nowMs();
        opts.onLeave?.();
      },
      reportGauges: () => {},
      stop: (end) => {
        context.stop.begin(end);
        opts.onStop?.();
      },
      run: ({ signal }) => whenAborted(signal),
    };
  }

  /** Creates and runs a router. */
  static create(opts: StopWorldOptions): StopWorld {
    const world = new StopWorld(opts);
    world.run().catch((error: unknown) => world.failures.push(error));
    return world;
  }

  /** Errors of tasks. */
  get errors(): readonly unknown[] {
    return this.failures;
  }

  /** Tells that pieces have taken some time until now. */
  observePieces(durationMs: number): void {
    const nowMs = this.timer.nowMs();
    this.router.context.pieceTimes.observe({ name: 'stage', durationMs, nowMs });
  }

  /** Asks the router to stop. */
  askToStop(): void {
    this.stop.abort();
  }

  /** Makes a call, which the front end refuses when it accepts none. */
  makeCall(changes: Partial<RoutedCall>): SeenCall {
    const seen: SeenCall = {
      requestId: `call-${this.seen.length}`,
      arrivedAtMs: this.timer.nowMs(),
      status: undefined,
      retryAfterMs: 0,
      hasStarted: false,
      endedAtMs: undefined,
      end: undefined,
      isNotRun: false,
    };
    if (!this.isRefusing) {
      this.seen.push(seen);
      this.router.serve(this.createExchange(seen, changes));
    }
    return seen;
  }

  private async run(): Promise<void> {
    const { timer } = this;
    const frontEnd: FrontEnd = {
      startClosing: () => {},
      stopAccepting: () => {
        this.isRefusing = true;
      },
      hasUnsentData: () =>
        this.seen.some(({ endedAtMs }) => endedAtMs !== undefined && endedAtMs > timer.nowMs()),
      close: () => {
        this.closedAtMs = timer.nowMs();
        this.opts.onClose?.();
      },
    };
    await runRouter({
      router: this.router,
      timer,
      log: () => {},
      open: () => Promise.resolve(frontEnd),
      stop: this.stop.signal,
      stopLimitMs: this.opts.limitMs,
    });
  }

  private createContext(): Router['context'] {
    const { timer } = this;
    const { around } = this.opts;
    const routes = RouteTable.create();
    const limits = { timeoutMs: LIMIT_MS, firstByteTimeoutMs: LIMIT_MS, latencyObjectiveMs: 500 };
    const changed = CONFIGURATION.routes.map((route) => ({ ...route, ...limits }));
    routes.update({ ...CONFIGURATION, routes: [{ ...BASE_ROUTE, ...limits }, ...changed] });
    const base = createContext({
      routerTimer: timer,
      routes,
      maxRetries: 100,
      logged: [] as unknown[],
    } as RouterWorld);
    return {
      ...base,
      stop: RouterStop.create({ timer, onCallStopped: (event) => this.stopped.push(event) }),
      evidenceAgeMs: around.evidenceAgeMs,
      submitPiece: this.opts.submitPiece ?? createSubmit(timer, around.pieceMs),
      freeResults: () => {},
      targetClient: {
        ...base.targetClient,
        sendCall: async (opts) => {
          this.sentAtMs.set(opts.call.requestId, timer.nowMs());
          const result = await around.sendCall(opts, timer);
          if (result.kind === 'answered' || result.kind === 'broken') {
            this.ranIds.add(opts.call.requestId);
          }
          return result;
        },
      },
    };
  }

  private createExchange(seen: SeenCall, changes: Partial<RoutedCall>): CallerExchange {
    const finish = (end: SeenCall['end']): void => {
      Object.assign(seen, { end, endedAtMs: this.timer.nowMs() + this.opts.around.writeMs });
    };
    return {
      call: { ...CALL, callerTimeoutMs: LIMIT_MS, ...changes, requestId: seen.requestId },
      receivedAtMs: this.timer.nowMs(),
      disconnected: new AbortController().signal,
      readBody: () => Promise.resolve(Result.ok(Buffer.from('body'))),
      release: () => {},
      refuse: (error) => {
        const status = error.codeName === 'target-failed' ? 502 : 503;
        const isNotRun = error.outcome === 'not-run';
        Object.assign(seen, { status, isNotRun, retryAfterMs: error.retryAfterMs });
        finish('refused');
      },
      hasChunks: true,
      whenNext: () => Promise.resolve(),
      writeHead: ({ status }) => Object.assign(seen, { status, hasStarted: true }),
      write: () => Promise.resolve(),
      end: () => finish('answered'),
      abort: () => finish('cut'),
    };
  }
}

/** Pieces that take some time, and that are cancelled with their signal. */
function createSubmit(timer: TimerService, pieceMs: () => number): SubmitPiece {
  let made = 0;
  return async ({ signal }): Promise<PieceResult> => {
    await timer.sleep({ delayMs: pieceMs(), signal });
    made += 1;
    return signal.aborted
      ? { kind: 'failed', reason: 'late' }
      : { kind: 'made', handle: `10.0.0.2:1/${made}` };
  };
}

/** Responds after some time; a call that is cancelled before that may have run. */
export async function respondAfter(
  opts: SendCallOptions,
  timer: TimerService,
  delayMs: number,
): Promise<SendResult> {
  await timer.sleep({ delayMs, signal: opts.signal });
  return opts.signal.aborted ? { kind: 'broken', detail: 'aborted' } : respond();
}
