interface KeptResult {
  readonly bytes: number;
  readonly expiresAtMs: number;
}

/** The results on one worker, in the order in which they expire. */
export class WorkerResults {
  private readonly results = new Map<string, KeptResult>();

  private totalBytes = 0;

  private constructor() {}

  /** Creates an instance without results. */
  static create(): WorkerResults {
    return new WorkerResults();
  }

  /** Adds a result, which expires after those that were added before. */
  add(opts: {
    readonly handle: string;
    readonly bytes: number;
    readonly expiresAtMs: number;
  }): void {
    const { handle, bytes, expiresAtMs } = opts;
    this.remove(handle);
    this.results.set(handle, { bytes, expiresAtMs });
    this.totalBytes += bytes;
  }

  /** Removes a result, if the worker keeps it. */
  remove(handle: string): void {
    this.totalBytes -= this.results.get(handle)?.bytes ?? 0;
    this.results.delete(handle);
  }

  /** Bytes of the results that have not expired. */
  keptBytes(nowMs: number): number {
    for (const [handle, { expiresAtMs }] of this.results) {
      if (expiresAtMs > nowMs) {
        break;
      }
      this.remove(handle);
    }
    return this.totalBytes;
  }
}
