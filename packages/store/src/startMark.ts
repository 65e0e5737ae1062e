import type { TimerService } from '@galenatiller/timer';

import type { WriteIfUnchanged } from './prefixSource.js';

/** Options of {@link StartMark.create}. */
export interface StartMarkOptions {
  readonly timer: TimerService;
  readonly writeIfUnchanged: WriteIfUnchanged;
  readonly nodeName: string;
  /** Time limit of the write. */
  readonly limitMs: number;
}

/** Prefix of the marks of nodes that have started; they last. */
const START_PREFIX = 'galenatiller/starts/';

/** A mark in the store that tells a node's first start from all later ones. */
export class StartMark {
  private isNew = false;

  private constructor(private readonly opts: StartMarkOptions) {}

  /** Creates a mark that is not written yet. */
  static create(opts: StartMarkOptions): StartMark {
    return new StartMark(opts);
  }

  /** Whether this is known to be the first start under the name of the node. */
  get isFirstStart(): boolean {
    return this.isNew;
  }

  /** Writes the mark; one that can't be written passes for one that was there. */
  async write(): Promise<void> {
    const { timer, writeIfUnchanged, nodeName, limitMs } = this.opts;
    const limit = timer.startTimeLimit({ limitMs });
    const written = await writeIfUnchanged({
      key: `${START_PREFIX}${nodeName}`,
      value: Buffer.from('started'),
      expectedRevision: 0,
      signal: limit.signal,
    });
    limit.release();
    this.isNew = written.isOk && written.value === 'written';
  }
}
