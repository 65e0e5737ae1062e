import type { CallContext } from './callStore.js';
import { openCall } from './callStore.js';
import { jitteredDelayMs } from './jitteredDelayMs.js';
import type { StoreResponse, WatchEvent } from './storeTypes.js';
import { decodeWatch, encodeWatch, type WatchMessage } from './wire.js';

/** Options of a watch. */
export interface WatchOptions {
  readonly prefix: string;
  /** First store revision whose changes are reported. */
  readonly fromRevision: number;
  readonly signal: AbortSignal;
}

/** Options of {@link watchPrefix}. */
export interface WatchPrefixOptions extends WatchOptions {
  readonly context: CallContext;
  readonly random: () => number;
  readonly idleTimeoutMs: number;
}

/**
 * 340 nodes that reopen within the first delay make 340 calls a second, a sixth of the call rate
 * limit.
 */
const REOPEN_BASE_MS = 1_000;
const MAX_REOPEN_DELAY_MS = 4_000;

/**
 * Yields each change under a prefix exactly once, in order of revision. A broken or silent watch is
 * reopened after the last revision seen; `gap` is yielded if the store no longer has the changes, or
 * has come back from an older copy and gives out revisions again.
 */
export async function* watchPrefix(
  opts: WatchPrefixOptions,
): AsyncGenerator<WatchEvent, void, void> {
  const { signal, context } = opts;
  let { fromRevision } = opts;
  let failures = 0;
  let isLost = false;
  while (!signal.aborted) {
    let hasIdled = false;
    const opened = context.era.mark();
    for await (const message of openOnce({ ...opts, fromRevision })) {
      if (message === 'silent') {
        hasIdled = true;
        continue;
      }
      if (isLost) {
        yield { kind: 'found' };
      }
      isLost = false;
      failures = 0;
      // A member of the store that lags has low revisions too, so only the cluster counts here.
      const isCurrent = context.era.observe(message.header, { ...opened, revision: 0 });
      if (!isCurrent || context.era.number !== opened.number) {
        break;
      }
      if (message.header.revision < fromRevision - 1) {
        // The reader finds out with its next read whether the store was restored.
        fromRevision = message.header.revision + 1;
        yield { kind: 'gap' };
      }
      fromRevision = Math.max(fromRevision, message.seenRevision + 1);
      if (message.cancelled) {
        yield { kind: 'gap' };
      }
      yield* message.events;
    }
    if (context.era.number !== opened.number) {
      fromRevision = context.era.mark().revision + 1;
      yield { kind: 'gap' };
      continue;
    }
    if (!hasIdled && !signal.aborted) {
      isLost = true;
      yield { kind: 'lost' };
      await context.timer.sleep({ delayMs: computeReopenDelayMs(opts, failures), signal });
      failures += 1;
    }
  }
}

/**
 * Yields the messages of one watch until it breaks, or `silent` if messages stop after the first.
 */
async function* openOnce(
  opts: WatchPrefixOptions,
): AsyncGenerator<WatchMessage | 'silent', void, void> {
  const { context, signal, idleTimeoutMs } = opts;
  let messageCount = 0;
  let idleLimit = context.timer.startTimeLimit({ limitMs: idleTimeoutMs, parent: signal });
  const controller = new AbortController();
  const abort = (): void => {
    controller.abort();
  };
  idleLimit.signal.addEventListener('abort', abort, { once: true });
  const cancelRestored = context.era.onRestored(abort);
  try {
    const body = encodeWatch(opts);
    const response = await openCall({ context, kind: 'watch', body, signal: controller.signal });
    if (response.isErr) {
      return;
    }
    const onPart = (): void => idleLimit.extend({ leftMs: idleTimeoutMs });
    for await (const line of readLines(response.value, onPart)) {
      idleLimit.release();
      messageCount += 1;
      yield decodeWatch(line);
      idleLimit = context.timer.startTimeLimit({ limitMs: idleTimeoutMs, parent: signal });
      idleLimit.signal.addEventListener('abort', abort, { once: true });
    }
  } catch {
    if (idleLimit.signal.aborted && messageCount > 0) {
      yield 'silent';
    }
  } finally {
    cancelRestored();
    idleLimit.release();
    abort();
  }
}

async function* readLines(
  response: StoreResponse,
  onPart: () => void,
): AsyncGenerator<string, void, void> {
  let incompleteLine = '';
  for await (const chunk of response.chunks) {
    onPart();
    const lines = (incompleteLine + chunk).split('\n');
    incompleteLine = lines.pop() ?? '';
    yield* lines.filter((line) => line !== '');
  }
}

function computeReopenDelayMs(opts: WatchPrefixOptions, failures: number): number {
  const { random } = opts;
  return jitteredDelayMs({ failures, baseMs: REOPEN_BASE_MS, maxMs: MAX_REOPEN_DELAY_MS, random });
}
