import { sendRequest } from './sendRequest.js';

/** Options of {@link probeTargetProcess}. */
export interface ProbeTargetProcessOptions {
  /** Base URL of the target. */
  readonly url: string;
  /** Identity that the target told last; empty when it has told none. */
  readonly knownStartId: string;
  readonly signal: AbortSignal;
}

/** Finds out whether the process behind a target has ended: it is gone or has another identity. */
export async function probeTargetProcess(
  opts: ProbeTargetProcessOptions,
): Promise<'alive' | 'crashed'> {
  const { url, signal, knownStartId } = opts;
  const answer = await sendRequest({
    url,
    path: '/load',
    method: 'GET',
    headers: {},
    body: '',
    signal,
  });
  if (answer.isErr) {
    // No answer in time proves nothing; a refused connection does.
    return answer.error.codeName === 'target-unreachable' ? 'crashed' : 'alive';
  }
  await answer.value.body.dump();
  const startId = answer.value.header('x-engine-start-id');
  return startId !== '' && knownStartId !== '' && startId !== knownStartId ? 'crashed' : 'alive';
}
