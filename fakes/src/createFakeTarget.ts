import { once } from 'node:events';

import type { TimerService } from '@galenatiller/timer';

import { ALWAYS_WARM, type ColdBehaviour, ColdPhase } from './coldPhase.js';
import { FakeServer, type FakeExchange, sendJson } from './fakeServer.js';
import { FaultInjector, type FaultCommand, faultCommandSchema } from './faultInjector.js';
import { RunLedger, type RunRecord } from './runLedger.js';
import { type FakeRun, Executor } from './executor.js';

/** Options that every fake target has. */
export interface FakeTargetOptions {
  readonly timer: TimerService;
  /** 0 for any free port. */
  readonly port: number;
  readonly seed: number;
  /** Time that a crashed target stays down. */
  readonly restartMs: number;
  readonly version: string;
  /** Missing for a target that is never cold. */
  readonly cold?: ColdBehaviour;
}

/** What a kind of target adds. */
export interface FakeTargetBehaviour extends FakeTargetOptions {
  /** Paths that do work. */
  readonly workPaths: ReadonlySet<string>;
  readonly run: (run: FakeRun) => Promise<void>;
  /** Handles other paths; false when the path is unknown. */
  readonly handleOther?: (exchange: FakeExchange) => Promise<boolean>;
  /** Called at each start, and when the target turns cold by an order. */
  readonly onCold?: () => void;
  /** The version that runs now, when orders can change it. */
  readonly currentVersion?: () => string;
}

/** A fake target that runs. */
export interface FakeTarget {
  readonly port: number;
  readonly url: string;
  readonly faults: FaultInjector;
  readonly ledger: RunLedger;
  /** Identity of the simulated process; changes at each restart. */
  readonly startId: () => string;
  /** Runs that go on. */
  readonly inFlight: () => number;
  readonly cold: ColdPhase;
  /** Turns cold without a restart. */
  readonly turnCold: () => void;
  /** Goes down, cutting every connection, and comes back cold. */
  readonly crash: () => void;
  readonly close: () => Promise<void>;
}

/** Body of `GET /runs`. */
interface RunsDescription {
  readonly startId: string;
  readonly coldOverloads: number;
  readonly runs: readonly RunRecord[];
}

/** Starts a fake target: fault orders, a ledger of runs and crashes around the work. */
export async function createFakeTarget(behaviour: FakeTargetBehaviour): Promise<FakeTarget> {
  const { timer, seed, run } = behaviour;
  const firstWallMs = timer.wallMs();
  const closing = new AbortController();
  let starts = 1;
  const ledger = RunLedger.create({ timer });
  const cold = ColdPhase.create({ ...(behaviour.cold ?? ALWAYS_WARM), timer });
  const faults = FaultInjector.create({
    seed,
    onEvent: (kind) => (kind === 'crash' ? crash() : turnCold()),
  });
  const version = behaviour.currentVersion ?? (() => behaviour.version);
  const desk = Executor.create({ ledger, faults, cold, run, startId, version, onOverload: crash });
  const server = await FakeServer.listen({ port: behaviour.port, handle });
  turnCold();

  const { port, url } = server;
  const inFlight = (): number => desk.inFlight;
  return { port, url, faults, ledger, cold, startId, inFlight, turnCold, crash, close };

  function turnCold(): void {
    cold.begin();
    behaviour.onCold?.();
  }

  function startId(): string {
    return `${server.port}-${firstWallMs}-${starts}`;
  }

  function describeRuns(): RunsDescription {
    return { startId: startId(), coldOverloads: cold.overloads, runs: ledger.runs };
  }

  async function close(): Promise<void> {
    closing.abort();
    await server.stop();
  }

  function crash(): void {
    desk.crash();
    restart().catch(() => {
      // The port was taken meanwhile; the target stays down.
    });
  }

  async function restart(): Promise<void> {
    await server.stop();
    await timer.sleep({ delayMs: behaviour.restartMs, signal: closing.signal });
    if (closing.signal.aborted) {
      return;
    }
    starts += 1;
    turnCold();
    await server.start();
  }

  async function handle(exchange: FakeExchange): Promise<void> {
    const { path, response, text } = exchange;
    if (exchange.method === 'POST' && behaviour.workPaths.has(path)) {
      await desk.handle(exchange);
    } else if (path === '/faults') {
      await obey({ response, order: faultCommandSchema.parse(JSON.parse(text)), faults });
    } else if (path === '/runs') {
      sendJson(response, { status: 200, body: describeRuns() });
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
  readonly order: FaultCommand;
  readonly faults: FaultInjector;
}): Promise<void> {
  if (order.kind === 'crash') {
    // The order is answered before its connection is cut.
    sendJson(response, { status: 200, body: {} });
    await once(response, 'close');
  }
  faults.apply(order);
  sendJson(response, { status: 200, body: {} });
}
