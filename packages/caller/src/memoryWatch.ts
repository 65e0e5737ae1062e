import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import type { Cancel, TimerService } from '@galenatiller/timer';

import { MemoryPressure } from './memoryPressure.js';

/** Options of {@link MemoryWatch.create}. */
export interface MemoryWatchOptions {
  readonly memoryMb: number;
  readonly timer: TimerService;
}

const CHECK_INTERVAL_MS = 200;

type Collect = (opts?: { readonly type: 'minor' }) => void;

/** Collects garbage of this process early while its memory is short. */
export class MemoryWatch {
  private readonly pressure: MemoryPressure;

  /** Loaded when it is first needed; most processes never need it. */
  private collect: Collect | undefined;

  private constructor(private readonly opts: MemoryWatchOptions) {
    this.pressure = MemoryPressure.create(opts);
  }

  /** Creates a watch that has not started. */
  static create(opts: MemoryWatchOptions): MemoryWatch {
    return new MemoryWatch(opts);
  }

  /** Looks at the memory at intervals, until cancelled. */
  start(): Cancel {
    return this.opts.timer.every({ intervalMs: CHECK_INTERVAL_MS, notify: () => this.look() });
  }

  /** Records bytes that were read from a caller or a target. */
  recordRead(bytes: number): void {
    if (this.pressure.recordRead(bytes)) {
      this.look();
    }
  }

  private look(): void {
    const residentBytes = process.memoryUsage.rss();
    const bufferBytes = this.pressure.isShort(residentBytes) ? readBufferBytes() : 0;
    const collection = this.pressure.choose({ residentBytes, bufferBytes });
    if (collection === 'none') {
      return;
    }
    this.collect ??= loadCollector();
    if (collection === 'young') {
      this.collect({ type: 'minor' });
    } else {
      this.collect();
      this.pressure.recordCollected(readBufferBytes());
    }
  }
}

function readBufferBytes(): number {
  return process.memoryUsage().arrayBuffers;
}

/** Loads the function of V8 that collects garbage. */
function loadCollector(): Collect {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as Collect;
  setFlagsFromString('--no-expose-gc');
  return collect;
}
