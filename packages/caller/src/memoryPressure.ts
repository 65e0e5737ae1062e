import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import type { Cancel, TimerService } from '@galenatiller/timer';

/** Memory of a process. */
export interface MemoryUse {
  readonly residentBytes: number;
  /** Memory of buffers, in use or not collected yet. */
  readonly bufferBytes: number;
}

/** Share of the machine's memory from which on buffers are collected early. */
const PRESSURE_SHARE = 0.75;

/** Growth of the buffers since the last collection that is worth another one. */
const MIN_GROWTH_BYTES = 8_388_608;

const BYTES_PER_MB = 1_048_576;
const CHECK_INTERVAL_MS = 200;

/**
 * Decides when garbage is collected. Left to itself, V8 lets buffers grow by 64 MB between two collections,
 * which is more than a small machine has left.
 */
export class MemoryPressure {
  private collectedBytes = 0;

  private constructor(private readonly limitBytes: number) {}

  /** Creates the decision for a machine. */
  static create(opts: { readonly memoryMb: number }): MemoryPressure {
    return new MemoryPressure(opts.memoryMb * BYTES_PER_MB * PRESSURE_SHARE);
  }

  /** Whether the process takes so much of the machine that its buffers are looked at. */
  isShort(residentBytes: number): boolean {
    return residentBytes >= this.limitBytes;
  }

  /** Whether to collect now; `recordCollected` must follow. */
  mustCollect(use: MemoryUse): boolean {
    this.collectedBytes = Math.min(this.collectedBytes, use.bufferBytes);
    return (
      this.isShort(use.residentBytes) && use.bufferBytes - this.collectedBytes >= MIN_GROWTH_BYTES
    );
  }

  /** Records what the buffers take after a collection. */
  recordCollected(bufferBytes: number): void {
    this.collectedBytes = bufferBytes;
  }
}

/** Collects garbage of this process early while its memory is short, until cancelled. */
export function watchMemory(opts: {
  readonly memoryMb: number;
  readonly timer: TimerService;
}): Cancel {
  const pressure = MemoryPressure.create(opts);
  let collect: (() => void) | undefined;
  return opts.timer.every({
    intervalMs: CHECK_INTERVAL_MS,
    notify: () => {
      const residentBytes = process.memoryUsage.rss();
      if (!pressure.isShort(residentBytes)) {
        return;
      }
      const { arrayBuffers: bufferBytes } = process.memoryUsage();
      if (pressure.mustCollect({ residentBytes, bufferBytes })) {
        // Most processes never need it.
        collect ??= loadCollector();
        collect();
        pressure.recordCollected(process.memoryUsage().arrayBuffers);
      }
    },
  });
}

/** Loads the function of V8 that collects all garbage. */
function loadCollector(): () => void {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  setFlagsFromString('--no-expose-gc');
  return collect;
}
