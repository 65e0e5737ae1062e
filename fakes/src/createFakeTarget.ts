import { once } from 'node:events';

import type { TimerService } from '@galenatiller/timer';

import { ALWAYS_WARM, type ColdBehaviour, ColdPhase } from './coldPhase.js';
import { FakeServer, type FakeExchange, sendJson } from './fakeServer.js';
import { FaultInjector, type FaultCommand, faultCommandSchema } from './faultInjector.js';
import { RunLedger, type RunRecord } from './runLedger.js';
import { type FakeRun, Executor } from './executor.js';

/** Options of every kind of fake target. */
export interface FakeTargetOptions {
  readonly timer: TimerService;
  /** 0 for any free port. */
  readonly port: number;
  readonly seed: number;
  /** Time until a crashed target restarts. */
  readonly restartMs: number;
  readonly version: string;
  /** Missing for a target that is never cold. */
  readonly cold?: ColdBehaviour;
}

/** What one kind of target adds to {@link FakeTargetOptions}. */
export interface FakeTargetBehaviour extends FakeTargetOptions {
  /** Paths whose requests are runs. */
  readonly workPaths: ReadonlySet<string>;
  readonly run: (run: FakeRun) => Promise<void>;
  /** Handles other paths; resolves to false when the path is unknown. */
  readonly handleOther?: (exchange: FakeExchange) => Promise<boolean>;
  /** Called whenever the target turns cold: at each start and on a command. */
  readonly onCold?: () => void;
  /** Returns the running version; needed only if it can change without a restart. */
  readonly currentVersion?: () => string;
}

/** A running fake target. */
export interface FakeTarget {
  readonly port: number;
  readonly url: string;
  readonly faults: FaultInjector;
  readonly ledger: RunLedger;
  /** Returns the identity of the simulated process, which changes at each restart. */
  readonly startId: () => string;
  /** Returns the number of runs in progress. */
  readonly inFlight: () => number;
  readonly cold: ColdPhase;
  /** Makes the target cold without a restart. */
  readonly turnCold: () => void;
  /** Closes every connection, stops the server and restarts it cold. */
  readonly crash: () => void;
  readonly close: () => Promise<void>;
}

/** Response body of `GET /runs`. */
interface RunsResponse {
  readonly startId: string;
  readonly coldOverloads: number;
  readonly runs: readonly RunRecord[];
}

/** Starts a fake target, with the parts that are common to all kinds: faults, ledger, crashes. */
export async function createFakeTarget(behaviour: FakeTargetBehaviour): Promise<FakeTarget> {
  const { timer, seed, run } = behaviour;
  const createdWallMs = timer.wallMs();
  const closing = new AbortController();
  let startCount = 1;
  const ledger = RunLedger.create({ timer });
  const cold = ColdPhase.create({ ...(behaviour.cold ?? ALWAYS_WARM), timer });
  const faults = FaultInjector.create({
    seed,
    onEvent: (kind) => (kind === 'crash' ? crash() : turnCold()),
  });
  const version = behaviour.currentVersion ?? (() => behaviour.version);
  const runs = Executor.create({ ledger, faults, cold, run, startId, version, onOverload: crash });
  const server = await FakeServer.listen({ port: behaviour.port, handle });
  turnCold();

  const { port, url } = server;
  const inFlight = (): number => runs.inFlight;
  return { port, url, faults, ledger, cold, startId, inFlight, turnCold, crash, close };

  function turnCold(): void {
    cold.begin();
    behaviour.onCold?.();
  }

  function startId(): string {
    return `${server.port}-${createdWallMs}-${startCount}`;
  }

  async function close(): Promise<void> {
    closing.abort();
    await server.stop();
  }

  function crash(): void {
    runs.crash();
    restart().catch(() => {
      // Another process took the port in the meantime; the target stays down.
    });
  }

  async function restart(): Promise<void> {
    await server.stop();
    await timer.sleep({ delayMs: behaviour.restartMs, signal: closing.signal });
    if (closing.signal.aborted) {
      return;
    }
    startCount += 1;
    faults.apply({ kind: 'leave', on: false });
    turnCold();
    await server.start();
  }

  async function handle(exchange: FakeExchange): Promise<void> {
    const { path, response, text } = exchange;
    sayLeaving(response, faults);
    if (exchange.method === 'POST' && behaviour.workPaths.has(path)) {
      await runs.handle(exchange);
    } else if (path === '/faults') {
      await applyCommand({ response, command: faultCommandSchema.parse(JSON.parse(text)), faults });
    } else if (path === '/runs') {
      sendJson(response, { status: 200, body: describeRuns(startId(), { cold, ledger }) });
    } else if (!(await behaviour.handleOther?.(exchange))) {
      sendJson(response, { status: 404, body: {} });
    }
  }
}

function describeRuns(
  startId: string,
  { cold, ledger }: Pick<FakeTarget, 'cold' | 'ledger'>,
): RunsResponse {
  return { startId, coldOverloads: cold.overloads, runs: ledger.runs };
}

function sayLeaving(response: FakeExchange['response'], { current }: FaultInjector): void {
  if (current.isLeaving) {
    response.setHeader('x-target-leaving', '1');
  }
}

async function applyCommand({
  response,
  command,
  faults,
}: {
  readonly response: FakeExchange['response'];
  readonly command: FaultCommand;
  readonly faults: FaultInjector;
}): Promise<void> {
  if (command.kind === 'crash') {
    // The response must be sent first, since the crash closes the connection.
    sendJson(response, { status: 200, body: {} });
    await once(response, 'close');
  }
  faults.apply(command);
  sendJson(response, { status: 200, body: {} });
}
