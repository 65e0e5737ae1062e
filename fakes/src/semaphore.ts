/** Lets a fixed number of runs go on at once; others wait in order. */
export class Semaphore {
  private readonly waiting: (() => void)[] = [];

  private constructor(private free: number) {}

  /** Makes slots that are all free. */
  static create(opts: { readonly count: number }): Semaphore {
    return new Semaphore(opts.count);
  }

  /** Runs a function in a slot. */
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
