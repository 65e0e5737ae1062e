import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

import type { StagePart } from '@galenatiller/types';

import { type AnswerIdentity, encodePart } from './wire.js';

/** Options of {@link PartWriter.create}. */
export interface PartWriterOptions {
  readonly response: ServerResponse;
  readonly identity: AnswerIdentity;
}

/** Writes the parts of one stream; parts of one turn of the event loop leave in one chunk. */
export class PartWriter {
  private pending = '';

  private constructor(private readonly opts: PartWriterOptions) {}

  /** Makes a writer that has written nothing. */
  static create(opts: PartWriterOptions): PartWriter {
    return new PartWriter(opts);
  }

  /** Takes a part; resolves once a slow caller has taken most of what was written before. */
  async put(part: StagePart): Promise<void> {
    const { response, identity } = this.opts;
    if (response.destroyed) {
      return;
    }
    if (this.pending === '') {
      setImmediate(() => {
        this.flush();
      });
    }
    this.pending += encodePart(identity, part);
    if (response.writableNeedDrain) {
      await Promise.race([once(response, 'drain'), once(response, 'close')]).catch(() => {});
    }
  }

  /** Writes what is held back; to be called before the end of the stream. */
  flush(): void {
    const { pending } = this;
    const { response } = this.opts;
    this.pending = '';
    if (pending !== '' && !response.destroyed) {
      response.write(pending);
    }
  }
}
