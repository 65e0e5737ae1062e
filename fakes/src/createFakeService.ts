import { computeSha256 } from './computeSha256.js';
import { createFakeTarget, type FakeTarget, type FakeTargetOptions } from './createFakeTarget.js';
import { sendJson } from './fakeServer.js';
import { Semaphore } from './semaphore.js';
import type { FakeRun } from './executor.js';

/** Options of {@link createFakeService}. */
export interface FakeServiceOptions extends FakeTargetOptions {
  readonly serviceMs: number;
  readonly concurrency: number;
}

/** One effect of a call; the service does not check for repeated calls. */
export interface ServiceEffect {
  readonly requestId: string;
  /** Idempotency key, or an empty string. */
  readonly runKey: string;
  readonly bodyDigest: string;
  readonly atWallMs: number;
}

/** A fake service that runs. */
export interface FakeService extends FakeTarget {
  readonly effects: readonly ServiceEffect[];
}

/** The receipt that a fake service gives for a call. */
export function computeExpectedReceipt(runKey: string, bodyText: string): string {
  return computeSha256(`${runKey}\n${bodyText}`);
}

/** Starts a fake plain service that keeps each effect of a call, also when its answer is lost. */
export async function createFakeService(opts: FakeServiceOptions): Promise<FakeService> {
  const { timer } = opts;
  const slots = Semaphore.create({ count: opts.concurrency });
  const effects: ServiceEffect[] = [];
  const target: FakeTarget = await createFakeTarget({
    ...opts,
    workPaths: new Set(['/v1/call']),
    run: (run) => slots.withPermit(() => serve(run)),
    handleOther: ({ path, response }) => {
      if (path === '/ledger') {
        sendJson(response, { status: 200, body: { effects } });
      }
      return Promise.resolve(path === '/ledger');
    },
  });
  return { ...target, effects };

  async function serve({ exchange, end, slowFactor }: FakeRun): Promise<void> {
    const { faults } = target;
    const { signal, response, text } = exchange;
    const runKey = exchange.header('idempotency-key');
    const delayMs = opts.serviceMs * faults.current.slowFactor * slowFactor;
    await timer.sleep({ delayMs, signal });
    if (signal.aborted) {
      return;
    }
    effects.push({
      requestId: exchange.header('x-request-id'),
      runKey,
      bodyDigest: computeSha256(text),
      atWallMs: timer.wallMs(),
    });
    if (faults.drawBoolean(faults.current.loseAnswerShare)) {
      end('lost');
      response.destroy();
      return;
    }
    end('answered');
    sendJson(response, { status: 200, body: { receipt: computeExpectedReceipt(runKey, text) } });
  }
}
