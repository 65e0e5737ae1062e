import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

import type { StagePart } from '@galenatiller/types';

import { type ResponseIdentity, createPartEncoder } from './wire.js';

/** Options of {@link PartWriter.create}. */
export interface PartWriterOptions {
  readonly response: ServerResponse;
  readonly identity: ResponseIdentity;
}

/**
 * Writes the parts of a streamed response; the parts of one event loop turn are sent in one chunk.
 */
export class PartWriter {
  private pending = '';

  private constructor(
    private readonly response: ServerResponse,
    private readonly encodePart: (part: StagePart) => string,
  ) {}

  /** Creates a writer. */
  static create(opts: PartWriterOptions): PartWriter {
    return new PartWriter(opts.response, createPartEncoder(opts.identity));
  }

  /** Writes a part; with a slow caller, resolves after the write buffer has drained. */
  async write(part: StagePart): Promise<void> {
    const { response } = this;
    if (response.destroyed) {
      return;
    }
    if (this.pending === '') {
      setImmediate(() => {
        this.flush();
      });
    }
    this.pending += this.encodePart(part);
    if (response.writableNeedDrain) {
      await Promise.race([once(response, 'drain'), once(response, 'close')]).catch(() => {});
    }
  }

  /** Sends the pending parts; must be called before the stream is ended. */
  flush(): void {
    const { pending, response } = this;
    this.pending = '';
    if (pending !== '' && !response.destroyed) {
      response.write(pending);
    }
  }
}
