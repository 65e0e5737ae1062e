import { getStartKey } from '@galenatiller/target';
import type { RegisteredTarget } from '@galenatiller/types';

import type { ProbeTarget } from './ports.js';

/** Options of {@link CrashDetector.create}. */
export interface CrashDetectorOptions {
  readonly probe: ProbeTarget;
  /** Whether the target may be probed now. */
  readonly mayProbe: (target: RegisteredTarget) => boolean;
}

/** Finds out whether a target crashed, when a connection to it broke. */
export class CrashDetector {
  /** Probes in progress; the calls that ran on a target when it crashed share one. */
  private readonly probes = new Map<string, Promise<boolean>>();

  private constructor(private readonly opts: CrashDetectorOptions) {}

  /** Creates a detector without probes in progress. */
  static create(opts: CrashDetectorOptions): CrashDetector {
    return new CrashDetector(opts);
  }

  /** Whether the process of a target is gone. */
  hasCrashed(target: RegisteredTarget): Promise<boolean> {
    const start = getStartKey(target);
    const known = this.probes.get(start);
    if (known) {
      return known;
    }
    if (!this.opts.mayProbe(target)) {
      return Promise.resolve(false);
    }
    const probe = this.opts
      .probe({ address: target.address })
      .then((state) => state === 'refused')
      .finally(() => this.probes.delete(start));
    this.probes.set(start, probe);
    return probe;
  }
}
