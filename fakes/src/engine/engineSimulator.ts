import type { FakeTarget } from '../createFakeTarget.js';
import { sendFailure, sendRefusal, type FakeRun } from '../executor.js';
import { Batch } from './batch.js';
import { CacheEventFeed } from './cacheEventFeed.js';
import { completionRequestSchema } from './completionRequest.js';
import type { FakeEngineSettings } from './engineSettings.js';
import { type FakeEngineOrder, OrderHandler } from './orderHandler.js';
import { PrefixCache } from './prefixCache.js';
import { streamCompletion } from './streamCompletion.js';

/** What an engine has loaded, and its role. */
interface LoadedState {
  readonly version: string;
  readonly role: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
}

/** Load of a fake engine; response body of `GET /load`. */
export interface FakeEngineLoad extends LoadedState {
  readonly running: number;
  readonly waiting: number;
  readonly cold: boolean;
  readonly coldOverloads: number;
  readonly cacheUsedShare: number;
}

/** Options of {@link EngineSimulator.create}. */
export interface EngineSimulatorOptions {
  readonly settings: FakeEngineSettings;
  /** Returns the target that runs the simulator. */
  readonly target: () => FakeTarget;
}

/** Simulates an engine: completions in a batch, the prefix cache and orders. */
export class EngineSimulator {
  /** Sends cache events to subscribers. */
  readonly feed: CacheEventFeed;

  /** Handles orders of gates and of operators' tools. */
  readonly orderHandler: OrderHandler;

  private readonly batch: Batch;

  private readonly cache: PrefixCache;

  private loaded: LoadedState;

  private constructor(private readonly opts: EngineSimulatorOptions) {
    const { settings, target } = opts;
    const { timer } = settings;
    this.loaded = { version: settings.version, role: 'both', models: [], adapters: [] };
    this.feed = CacheEventFeed.create({
      timer,
      lagMs: settings.cacheEventLagMs,
      isLost: () => target().faults.drawBoolean(settings.cacheEventLossShare),
      startId: () => target().startId(),
    });
    this.cache = PrefixCache.create({
      maxBlocks: settings.cacheBlocks,
      onChange: (change) => {
        this.feed.publish(change);
      },
    });
    this.batch = Batch.create({
      timer,
      speed: settings.speed,
      slowFactor: () => target().faults.current.slowFactor,
    });
    this.orderHandler = OrderHandler.create({
      checksFencing: settings.checksFencing,
      onOrder: (order) => {
        this.applyOrder(order);
      },
    });
  }

  /** Creates a simulator without requests. */
  static create(opts: EngineSimulatorOptions): EngineSimulator {
    return new EngineSimulator(opts);
  }

  /** The running version. */
  get version(): string {
    return this.loaded.version;
  }

  /** The current load, without lag. */
  get load(): FakeEngineLoad {
    const { cold } = this.opts.target();
    return {
      ...this.loaded,
      running: this.batch.runningCount,
      waiting: this.batch.waitingCount,
      cold: cold.isCold,
      coldOverloads: cold.overloads,
      cacheUsedShare: this.cache.usedShare,
    };
  }

  /** Empties the prefix cache. */
  clearCache(): void {
    this.cache.clear();
  }

  /**
   * Runs a completion. An invalid request fails, a poison prompt crashes the engine, and a request
   * is refused while the queue is full.
   */
  async run(run: FakeRun): Promise<void> {
    const { settings, target } = this.opts;
    const parsed = completionRequestSchema.safeParse(JSON.parse(run.exchange.text));
    if (!parsed.success) {
      sendFailure(run, 400);
      return;
    }
    if (settings.poisonMarker !== '' && parsed.data.prompt.includes(settings.poisonMarker)) {
      target().crash();
      return;
    }
    if (this.batch.waitingCount >= settings.queueLimit) {
      sendRefusal(run, 'overloaded');
      return;
    }
    const prefillMs = this.cache.addPrompt(parsed.data.prompt) * settings.prefillMsPerBlock;
    run.exchange.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-engine-start-id': run.startId,
    });
    run.exchange.response.flushHeaders();
    const { faults } = target();
    await streamCompletion({ run, batch: this.batch, faults, completion: parsed.data, prefillMs });
  }

  private applyOrder(order: FakeEngineOrder): void {
    const { loaded } = this;
    switch (order.kind) {
      case 'load-model':
        this.loaded = { ...loaded, models: [...loaded.models, order.name] };
        return;
      case 'load-adapter':
        this.loaded = { ...loaded, adapters: [...loaded.adapters, order.name] };
        return;
      case 'load-version':
        this.loaded = { ...loaded, version: order.name };
        this.opts.target().turnCold();
        return;
      default:
        this.loaded = { ...loaded, role: order.name };
    }
  }
}
