import { Result } from 'true-myth';

import type { BlockPool } from './blockPool.js';
import type { BodyBudget } from './bodyBudget.js';
import { ChunkCollector } from './chunkCollector.js';
import { type ChunkPacer, hasTooManyChunks } from './chunkPacer.js';
import type { HeldRequest } from './heldRequest.js';

/**
 * Why a body could not be read. `no-memory`: it was given up for others. `too-many-chunks`: its chunks
 * are too small for their number.
 */
export type BodyFailure = 'too-large' | 'broken' | 'too-slow' | 'no-memory' | 'too-many-chunks';

/** A complete body; its memory counts as used until it is released. */
export interface ReadBody {
  readonly bytes: Buffer;
  readonly release: () => void;
}

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  readonly request: HeldRequest;
  readonly budget: BodyBudget;
  readonly blocks: BlockPool;
  readonly pacer: ChunkPacer;
  /** Called with the number of bytes of each part that is read. */
  readonly onRead: (bytes: number) => void;
  readonly maxBytes: number;
  /** Monotonic time until which the body must be complete. */
  readonly deadlineAtMs: number;
}

/** Reads the body of a request as its memory allows; a request that fails must be closed. */
export function readBody(opts: ReadBodyOptions): Promise<Result<ReadBody, BodyFailure>> {
  const { request, budget, blocks, pacer, maxBytes, deadlineAtMs } = opts;
  return new Promise((resolve) => {
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
      request.hold();
      resolve(Result.err('too-large'));
      return;
    }
    let isOver = false;
    let chunksAtPause = 0;
    const collector = ChunkCollector.create({ pool: blocks });
    const resume = (): void => request.letGo();
    const end = (result: Result<ReadBody, BodyFailure>): void => {
      isOver = true;
      collector.drop();
      pacer.remove(request, resume);
      resolve(result);
    };
    const fail = (failure: BodyFailure): void => {
      if (!isOver) {
        request.hold();
        claim.release();
        end(Result.err(failure));
      }
    };
    const claim = budget.open({ maxBytes, deadlineAtMs, onGranted: resume, onClosed: fail });
    request.on('data', (chunk: Buffer) => {
      if (isOver) {
        return;
      }
      collector.push(chunk);
      opts.onRead(chunk.length);
      const { chunks, bodyBytes, heldBytes } = collector;
      if (bodyBytes > maxBytes) {
        fail('too-large');
      } else if (pacer.isContended && hasTooManyChunks(collector)) {
        fail('too-many-chunks');
      } else if (!claim.charge(heldBytes)) {
        request.hold();
      } else if (
        pacer.mustPause(request, { chunks, bodyBytes, sincePause: chunks - chunksAtPause })
      ) {
        chunksAtPause = chunks;
        request.hold();
        pacer.queue(resume);
      }
    });
    request.once('end', () => {
      if (!isOver) {
        const bytes = collector.take();
        claim.complete(bytes.length);
        end(Result.ok({ bytes, release: claim.release }));
      }
    });
    request.once('error', () => fail('broken'));
    request.once('close', () => fail('broken'));
  });
}
