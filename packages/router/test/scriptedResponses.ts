/** Responses of scripted targets. */
import type { SendCallOptions, SendResult } from '../src/ports.js';

export function respond(
  changes: Partial<Extract<SendResult, { kind: 'answered' }>> = {},
): SendResult {
  return {
    kind: 'answered',
    status: 200,
    isSealed: true,
    isEventStream: true,
    passedHeaders: ['X-From', 'target'],
    bodyEnd: 'length',
    body: createChunks(['whole']),
    discard: () => {},
    ...changes,
  };
}

export async function* createChunks(
  texts: readonly string[],
  failure?: string,
): AsyncGenerator<Buffer> {
  for (const text of texts) {
    yield Buffer.from(text);
  }
  if (failure !== undefined) {
    throw new Error(failure);
  }
}

export function createEvents(from: number, to: number): string[] {
  return Array.from({ length: to - from + 1 }, (_, index) => `id: ${from + index}\ndata: x\n\n`);
}

export function streamEvents(opts: SendCallOptions): SendResult {
  return respond({
    body: createChunks(createEvents(Number(opts.lastEventId || '0') + 1, 4)),
  });
}
