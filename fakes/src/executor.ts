import type { ColdOverloadAction, ColdPhase } from './coldPhase.js';
import { type FakeExchange, sendJson } from './fakeServer.js';
import type { FaultInjector, VersionFault } from './faultInjector.js';
import type { EndRun, RunLedger } from './runLedger.js';

/** A run at a fake target. */
export interface FakeRun {
  readonly exchange: FakeExchange;
  readonly startId: string;
  readonly end: EndRun;
  /** Factor by which this run is slowed down. */
  readonly slowFactor: number;
}

/** Options of {@link Executor.create}. */
export interface ExecutorOptions {
  readonly ledger: RunLedger;
  readonly faults: FaultInjector;
  readonly cold: ColdPhase;
  /** Called when a cold target must crash because of too many requests. */
  readonly onOverload: () => void;
  readonly startId: () => string;
  readonly version: () => string;
  readonly run: (run: FakeRun) => Promise<void>;
}

/** Executes and records runs, with the faults that every kind of target supports. */
export class Executor {
  private readonly activeRuns = new Set<EndRun>();

  private runCount = 0;

  private constructor(private readonly opts: ExecutorOptions) {}

  /** Creates an executor without runs. */
  static create(opts: ExecutorOptions): Executor {
    return new Executor(opts);
  }

  /** Number of runs in progress. */
  get inFlight(): number {
    return this.activeRuns.size;
  }

  /** Executes the run that a request asks for. */
  async handle(exchange: FakeExchange): Promise<void> {
    const { faults, startId } = this.opts;
    const { refuse, retryAfter } = faults.current;
    if (retryAfter !== '') {
      exchange.response.setHeader('retry-after', retryAfter);
    }
    if (refuse || retryAfter !== '') {
      sendJson(exchange.response, { status: 503, body: { error: { code: 'overloaded' } } });
      return;
    }
    const end = this.recordStart(exchange);
    this.activeRuns.add(end);
    this.runCount += 1;
    const versionFault = this.findVersionFault(exchange.header('x-route'));
    try {
      await this.run({
        run: {
          exchange,
          end,
          startId: startId(),
          slowFactor: this.computeSlowFactor(versionFault),
        },
        errorShare: Math.max(faults.current.errorShare, versionFault?.errorShare ?? 0),
      });
    } finally {
      this.activeRuns.delete(end);
      end('cancelled');
    }
  }

  /** Records that every run in progress ended in a crash. */
  crash(): void {
    this.activeRuns.forEach((end) => {
      end('crashed');
    });
  }

  private recordStart({ header, path }: FakeExchange): EndRun {
    return this.opts.ledger.start({
      requestId: header('x-request-id'),
      stageIndex: Number(header('x-stage-index')),
      attempt: Number(header('x-attempt')),
      route: header('x-route'),
      runKey: header('idempotency-key'),
      path,
      startId: this.opts.startId(),
    });
  }

  /** Finds the fault of the current version, if it affects a run on this route now. */
  private findVersionFault(route: string): VersionFault | undefined {
    const { quality } = this.opts.faults.current;
    const isActive =
      quality?.version === this.opts.version() &&
      this.runCount > quality.afterRuns &&
      this.inFlight > quality.aboveLoad &&
      (quality.route === '' || quality.route === route);
    return isActive ? quality : undefined;
  }

  private applyOverload(run: FakeRun, overload: ColdOverloadAction): void {
    if (overload === 'crash') {
      this.opts.onOverload();
    } else if (overload === 'fail') {
      sendFailure(run, 500);
    } else {
      sendRefusal(run, 'cold');
    }
  }

  private computeSlowFactor(versionFault: VersionFault | undefined): number {
    return (versionFault?.slowFactor ?? 1) * this.opts.cold.slowFactor;
  }

  private async run({
    run,
    errorShare,
  }: {
    readonly run: FakeRun;
    readonly errorShare: number;
  }): Promise<void> {
    const { faults, cold } = this.opts;
    const overload = cold.checkOverload(this.inFlight);
    if (overload) {
      this.applyOverload(run, overload);
      return;
    }
    if (faults.drawBoolean(errorShare)) {
      sendFailure(run, 500);
      return;
    }
    if (faults.current.hang) {
      await waitForAbort(run.exchange.signal);
      return;
    }
    await this.opts.run(run);
  }
}

/** Records a run as failed and responds with an error status. */
export function sendFailure({ exchange, end }: FakeRun, status: number): void {
  end('failed');
  sendJson(exchange.response, { status, body: {} });
}

/** Records a run as refused and responds with status 503. */
export function sendRefusal({ exchange, end }: FakeRun, code: 'cold' | 'overloaded'): void {
  end('refused');
  sendJson(exchange.response, { status: 503, body: { error: { code } } });
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}
