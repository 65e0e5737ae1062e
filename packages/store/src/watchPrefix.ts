import type { CallContext } from './callStore.js';
import { openCall } from './callStore.js';
import { jitteredDelayMs } from './jitteredDelayMs.js';
import type { StoreResponse, WatchEvent } from './storeTypes.js';
import { decodeWatch, encodeWatch, type WatchMessage } from './wire.js';

/** Options of a watch. */
export interface WatchOptions {
  readonly prefix: string;
  /** First revision of the store to be reported. */
  readonly fromRevision: number;
  readonly signal: AbortSignal;
}

/** Options of {@link watchPrefix}. */
export interface WatchPrefixOptions extends WatchOptions {
  readonly context: CallContext;
  readonly random: () => number;
  readonly idleTimeoutMs: number;
}

/** 340 nodes that come back within the first span make 340 calls a second, a sixth of the rate. */
const REOPEN_BASE_MS = 1_000;
const REOPEN_CAP_MS = 4_000;

/**
 * Yields changes under a prefix in the order of their revisions, each once. A broken or silent watch
 * is opened again after the last revision seen; `gap` is yielded when the store no longer has it.
 */
export async function* watchPrefix(
  opts: WatchPrefixOptions,
): AsyncGenerator<WatchEvent, void, void> {
  const { signal, context } = opts;
  let { fromRevision } = opts;
  let failures = 0;
  let lost = false;
  while (!signal.aborted) {
    let silent = false;
    for await (const message of openOnce({ ...opts, fromRevision })) {
      if (message === 'silent') {
        silent = true;
        continue;
      }
      if (lost) {
        yield { kind: 'found' };
      }
      lost = false;
      failures = 0;
      fromRevision = Math.max(fromRevision, message.seenRevision + 1);
      if (message.cancelled) {
        yield { kind: 'gap' };
      }
      yield* message.events;
    }
    if (!silent && !signal.aborted) {
      lost = true;
      yield { kind: 'lost' };
      await context.timer.sleep({ delayMs: reopenDelayMs(opts, failures), signal });
      failures += 1;
    }
  }
}

/** One opened watch: messages until it breaks, or `silent` when it fell silent after the first. */
async function* openOnce(
  opts: WatchPrefixOptions,
): AsyncGenerator<WatchMessage | 'silent', void, void> {
  const { context, signal, idleTimeoutMs: idleLimitMs } = opts;
  let messages = 0;
  let idle = context.timer.startTimeLimit({ limitMs: idleLimitMs, parent: signal });
  const controller = new AbortController();
  const abort = (): void => {
    controller.abort();
  };
  idle.signal.addEventListener('abort', abort, { once: true });
  try {
    const body = encodeWatch(opts);
    const opened = await openCall({ context, kind: 'watch', body, signal: controller.signal });
    if (opened.isErr) {
      return;
    }
    for await (const line of linesOf(opened.value)) {
      idle.release();
      messages += 1;
      yield decodeWatch(line);
      idle = context.timer.startTimeLimit({ limitMs: idleLimitMs, parent: signal });
      idle.signal.addEventListener('abort', abort, { once: true });
    }
  } catch {
    if (idle.signal.aborted && messages > 0) {
      yield 'silent';
    }
  } finally {
    idle.release();
    abort();
  }
}

async function* linesOf(reply: StoreResponse): AsyncGenerator<string, void, void> {
  let rest = '';
  for await (const chunk of reply.chunks) {
    const lines = (rest + chunk).split('\n');
    rest = lines.pop() ?? '';
    yield* lines.filter((line) => line !== '');
  }
}

function reopenDelayMs(opts: WatchPrefixOptions, failures: number): number {
  const { random } = opts;
  return jitteredDelayMs({ failures, baseMs: REOPEN_BASE_MS, capMs: REOPEN_CAP_MS, random });
}
