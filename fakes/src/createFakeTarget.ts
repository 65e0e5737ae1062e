import { once } from 'node:events';

import type { TimerService } from '@galenatiller/timer';

import { FakeServer, type FakeExchange, sendJson } from './fakeServer.js';
import { FaultBoard, type FaultOrder, faultOrderSchema } from './faultBoard.js';
import { RunLedger } from './runLedger.js';
import { type FakeRun, WorkDesk } from './workDesk.js';

/** Options that every fake target has. */
export interface FakeTargetOptions {
  readonly timer: TimerService;
  /** 0 for any free port. */
  readonly port: number;
  readonly seed: number;
  /** Time that a crashed target stays down. */
  readonly restartMs: number;
  readonly version: string;
}

/** What a kind of target adds. */
export interface FakeTargetBehaviour extends FakeTargetOptions {
  /** Paths that do work. */
  readonly workPaths: ReadonlySet<string>;
  readonly run: (run: FakeRun) => Promise<void>;
  /** Handles other paths; false when the path is unknown. */
  readonly handleOther?: (exchange: FakeExchange) => Promise<boolean>;
  /** Called at each start, and when an order turns the target cold. */
  readonly onCold?: () => void;
  /** The version that runs now, when orders can change it. */
  readonly currentVersion?: () => string;
}

/** A fake target that runs. */
export interface FakeTarget {
  readonly port: number;
  readonly url: string;
  readonly faults: FaultBoard;
  readonly ledger: RunLedger;
  /** Identity of the simulated process; changes at each restart. */
  readonly startId: () => string;
  /** Runs that go on. */
  readonly inFlight: () => number;
  /** Goes down, cutting every connection, and comes back cold. */
  readonly crash: () => void;
  readonly close: () => Promise<void>;
}

/** Starts a fake target: fault orders, a ledger of runs and crashes around the work. */
export async function createFakeTarget(behaviour: FakeTargetBehaviour): Promise<FakeTarget> {
  const { timer, seed, workPaths, run } = behaviour;
  const firstWallMs = timer.wallMs();
  const closing = new AbortController();
  let starts = 1;
  const ledger = RunLedger.create({ timer });
  const faults = FaultBoard.create({
    seed,
    onEvent: (kind) => (kind === 'crash' ? crash() : behaviour.onCold?.()),
  });
  const version = behaviour.currentVersion ?? (() => behaviour.version);
  const desk = WorkDesk.create({ ledger, faults, run, startId, version });
  const server = await FakeServer.listen({ port: behaviour.port, handle });
  behaviour.onCold?.();

  return { port: server.port, url: server.url, faults, ledger, startId, inFlight, crash, close };

  function inFlight(): number {
    return desk.inFlight;
  }

  function startId(): string {
    return `${server.port}-${firstWallMs}-${starts}`;
  }

  async function close(): Promise<void> {
    closing.abort();
    await server.down();
  }

  function crash(): void {
    desk.crash();
    restart().catch(() => {
      // The port was taken meanwhile; the target stays down.
    });
  }

  async function restart(): Promise<void> {
    await server.down();
    await timer.sleep({ delayMs: behaviour.restartMs, signal: closing.signal });
    if (closing.signal.aborted) {
      return;
    }
    starts += 1;
    behaviour.onCold?.();
    await server.up();
  }

  async function handle(exchange: FakeExchange): Promise<void> {
    const { path, response, text } = exchange;
    if (exchange.method === 'POST' && workPaths.has(path)) {
      await desk.handle(exchange);
    } else if (path === '/faults') {
      await obey({ response, order: faultOrderSchema.parse(JSON.parse(text)), faults });
    } else if (path === '/runs') {
      sendJson(response, { status: 200, body: { startId: startId(), runs: ledger.runs } });
    } else if (!(await behaviour.handleOther?.(exchange))) {
      sendJson(response, { status: 404, body: {} });
    }
  }
}

async function obey({
  response,
  order,
  faults,
}: {
  readonly response: FakeExchange['response'];
  readonly order: FaultOrder;
  readonly faults: FaultBoard;
}): Promise<void> {
  if (order.kind === 'crash') {
    // The order is answered before its connection is cut.
    sendJson(response, { status: 200, body: {} });
    await once(response, 'close');
  }
  faults.apply(order);
  sendJson(response, { status: 200, body: {} });
}
