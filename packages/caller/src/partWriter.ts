import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

import type { StagePart } from '@galenatiller/types';

import { type ResponseIdentity, createPartEncoder } from './wire.js';

/** Options of {@link PartWriter.create}. */
export interface PartWriterOptions {
  readonly response: ServerResponse;
  readonly identity: ResponseIdentity;
}

/** Writes the parts of one stream; parts of one turn of the event loop leave in one chunk. */
export class PartWriter {
  private pending = '';

  private constructor(
    private readonly response: ServerResponse,
    private readonly encodePart: (part: StagePart) => string,
  ) {}

  /** Makes a writer that has written nothing. */
  static create(opts: PartWriterOptions): PartWriter {
    return new PartWriter(opts.response, createPartEncoder(opts.identity));
  }

  /** Takes a part; resolves once a slow caller has taken most of what was written before. */
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

  /** Writes what is held back; to be called before the end of the stream. */
  flush(): void {
    const { pending, response } = this;
    this.pending = '';
    if (pending !== '' && !response.destroyed) {
      response.write(pending);
    }
  }
}
