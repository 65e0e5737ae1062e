import { readAll } from './readAll.js';
import { type OnTargetNotice, sendRequest } from './sendRequest.js';

/** Options of {@link probeTargetProcess}. */
export interface ProbeTargetProcessOptions {
  /** Base URL of the target. */
  readonly url: string;
  /** Start id last reported by the target; empty when it has reported none. */
  readonly knownStartId: string;
  /** Whether to ask on a new connection, which holds no answer that was sent before. */
  readonly isConnectionNew?: boolean;
  readonly signal: AbortSignal;
  readonly onNotice?: OnTargetNotice;
}

/** A report on the load of a target is far smaller. */
const MAX_PROBE_BYTES = 131_072;

/** What a question to a target shows; no answer in time, and a broken one, are `unknown`. */
export type TargetProcessState = 'alive' | 'crashed' | 'unknown';

/** Checks whether a target has crashed: it refuses connections or has another start id. */
export async function probeTargetProcess(
  opts: ProbeTargetProcessOptions,
): Promise<TargetProcessState> {
  const { knownStartId } = opts;
  const response = await sendRequest({
    ...opts,
    path: '/load',
    method: 'GET',
    headers: {},
    body: '',
  });
  if (response.isErr) {
    // A timeout proves nothing, but a failed connect does.
    return response.error.codeName === 'target-unreachable' ? 'crashed' : 'unknown';
  }
  // Only a body that was read to its end leaves its connection for the next request.
  await readAll({ body: response.value.body, maxBytes: MAX_PROBE_BYTES }).catch(() => {});
  const startId = response.value.header('x-engine-start-id');
  return startId !== '' && knownStartId !== '' && startId !== knownStartId ? 'crashed' : 'alive';
}
