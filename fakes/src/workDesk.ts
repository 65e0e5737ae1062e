import { type FakeExchange, sendJson } from './fakeServer.js';
import type { FaultBoard } from './faultBoard.js';
import type { EndRun, RunLedger } from './runLedger.js';

/** One run at a fake target. */
export interface FakeRun {
  readonly exchange: FakeExchange;
  readonly startId: string;
  readonly end: EndRun;
}

/** Options of {@link WorkDesk.create}. */
export interface WorkDeskOptions {
  readonly ledger: RunLedger;
  readonly faults: FaultBoard;
  readonly startId: () => string;
  readonly run: (run: FakeRun) => Promise<void>;
}

/** Takes in work: records each run and shows the faults that all kinds of targets have. */
export class WorkDesk {
  private readonly running = new Set<EndRun>();

  private constructor(private readonly opts: WorkDeskOptions) {}

  /** Makes a desk without runs. */
  static create(opts: WorkDeskOptions): WorkDesk {
    return new WorkDesk(opts);
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
    try {
      await this.run({ exchange, end, startId: startId() });
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

  private async run(run: FakeRun): Promise<void> {
    const { faults } = this.opts;
    if (faults.draw(faults.current.errorShare)) {
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
