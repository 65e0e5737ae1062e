/** Limits the number of functions that run at the same time; others wait in order of arrival. */
export class Semaphore {
  private readonly waiting: (() => void)[] = [];

  private constructor(private free: number) {}

  /** Creates a semaphore with all permits free. */
  static create(opts: { readonly count: number }): Semaphore {
    return new Semaphore(opts.count);
  }

  /** Runs a function once a permit is free and releases the permit afterwards. */
  async withPermit(run: () => Promise<void>): Promise<void> {
    if (this.free === 0) {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
    } else {
      this.free -= 1;
    }
    try {
      await run();
    } finally {
      this.release();
    }
  }

  private release(): void {
    const next = this.waiting.shift();
    if (next) {
      next();
    } else {
      this.free += 1;
    }
  }
}
