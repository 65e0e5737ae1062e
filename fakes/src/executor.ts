import type { ColdOverloadAction, ColdPhase } from './coldPhase.js';
import { type FakeExchange, sendJson } from './fakeServer.js';
import type { FaultInjector, VersionFault } from './faultInjector.js';
import type { EndRun, RunLedger } from './runLedger.js';

/** One run at a fake target. */
export interface FakeRun {
  readonly exchange: FakeExchange;
  readonly startId: string;
  readonly end: EndRun;
  /** Factor on the times of this run. */
  readonly slowFactor: number;
}

/** Options of {@link Executor.create}. */
export interface ExecutorOptions {
  readonly ledger: RunLedger;
  readonly faults: FaultInjector;
  readonly cold: ColdPhase;
  /** Called when a cold target gets more load than it bears and cannot take it. */
  readonly onOverload: () => void;
  readonly startId: () => string;
  readonly version: () => string;
  readonly run: (run: FakeRun) => Promise<void>;
}

/** Takes in work: records each run and shows the faults that all kinds of targets have. */
export class Executor {
  private readonly running = new Set<EndRun>();

  private runs = 0;

  private constructor(private readonly opts: ExecutorOptions) {}

  /** Makes a desk without runs. */
  static create(opts: ExecutorOptions): Executor {
    return new Executor(opts);
  }

  /** Runs that go on. */
  get inFlight(): number {
    return this.running.size;
  }

  /** Runs one exchange to its end. */
  async handle(exchange: FakeExchange): Promise<void> {
    const { faults, startId } = this.opts;
    if (faults.current.refuse) {
      sendJson(exchange.response, { status: 503, body: { error: { code: 'overloaded' } } });
      return;
    }
    const end = this.record(exchange);
    this.running.add(end);
    this.runs += 1;
    const bad = this.badness(exchange.header('x-route'));
    try {
      await this.run({
        run: { exchange, end, startId: startId(), slowFactor: this.slowFactorOf(bad) },
        errorShare: Math.max(faults.current.errorShare, bad?.errorShare ?? 0),
      });
    } finally {
      this.running.delete(end);
      end('cancelled');
    }
  }

  /** Records that every run ended in a crash. */
  crash(): void {
    this.running.forEach((end) => {
      end('crashed');
    });
  }

  private record({ header, path }: FakeExchange): EndRun {
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

  /** The quality of the version, when it shows in a run. */
  private badness(route: string): VersionFault | undefined {
    const { quality } = this.opts.faults.current;
    const shows =
      quality?.version === this.opts.version() &&
      this.runs > quality.afterRuns &&
      this.inFlight > quality.aboveLoad &&
      (quality.route === '' || quality.route === route);
    return shows ? quality : undefined;
  }

  private showOverload(run: FakeRun, overload: ColdOverloadAction): void {
    if (overload === 'crash') {
      this.opts.onOverload();
    } else if (overload === 'fail') {
      sendFailure(run, 500);
    } else {
      sendRefusal(run, 'cold');
    }
  }

  private slowFactorOf(bad: VersionFault | undefined): number {
    return (bad?.slowFactor ?? 1) * this.opts.cold.slowFactor;
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
      this.showOverload(run, overload);
      return;
    }
    if (faults.drawBoolean(errorShare)) {
      sendFailure(run, 500);
      return;
    }
    if (faults.current.hang) {
      await gone(run.exchange.signal);
      return;
    }
    await this.opts.run(run);
  }
}

/** Answers a run with an error. */
export function sendFailure({ exchange, end }: FakeRun, status: number): void {
  end('failed');
  sendJson(exchange.response, { status, body: {} });
}

/** Refuses a run. */
export function sendRefusal({ exchange, end }: FakeRun, code: 'cold' | 'overloaded'): void {
  end('refused');
  sendJson(exchange.response, { status: 503, body: { error: { code } } });
}

function gone(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}
