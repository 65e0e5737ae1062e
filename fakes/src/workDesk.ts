import { type FakeExchange, sendJson } from './fakeServer.js';
import type { FaultBoard, VersionQuality } from './faultBoard.js';
import type { EndRun, RunLedger } from './runLedger.js';

/** One run at a fake target. */
export interface FakeRun {
  readonly exchange: FakeExchange;
  readonly startId: string;
  readonly end: EndRun;
  /** Factor on the times of this run. */
  readonly slowFactor: number;
}

/** Options of {@link WorkDesk.create}. */
export interface WorkDeskOptions {
  readonly ledger: RunLedger;
  readonly faults: FaultBoard;
  readonly startId: () => string;
  readonly version: () => string;
  readonly run: (run: FakeRun) => Promise<void>;
}

/** Takes in work: records each run and shows the faults that all kinds of targets have. */
export class WorkDesk {
  private readonly running = new Set<EndRun>();

  private runs = 0;

  private constructor(private readonly opts: WorkDeskOptions) {}

  /** Makes a desk without runs. */
  static create(opts: WorkDeskOptions): WorkDesk {
    return new WorkDesk(opts);
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
        run: { exchange, end, startId: startId(), slowFactor: bad?.slowFactor ?? 1 },
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
  private badness(route: string): VersionQuality | undefined {
    const { quality } = this.opts.faults.current;
    const shows =
      quality?.version === this.opts.version() &&
      this.runs > quality.afterRuns &&
      this.inFlight > quality.aboveLoad &&
      (quality.route === '' || quality.route === route);
    return shows ? quality : undefined;
  }

  private async run({
    run,
    errorShare,
  }: {
    readonly run: FakeRun;
    readonly errorShare: number;
  }): Promise<void> {
    const { faults } = this.opts;
    if (faults.draw(errorShare)) {
      run.end('failed');
      sendJson(run.exchange.response, { status: 500, body: {} });
      return;
    }
    if (faults.current.hang) {
      await gone(run.exchange.signal);
      return;
    }
    await this.opts.run(run);
  }
}

function gone(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}
