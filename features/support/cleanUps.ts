/** What a scenario has opened, so that nothing of it outlives the scenario, whichever step fails. */
export class CleanUps {
  private readonly pending: (() => unknown)[] = [];

  private isOver = false;

  private constructor() {}

  /** Creates an empty list. */
  static create(): CleanUps {
    return new CleanUps();
  }

  /** Adds what closes something that has been opened; runs it at once if the scenario is over. */
  add(cleanUp: () => unknown): void {
    this.pending.push(cleanUp);
    if (this.isOver) {
      // A step that timed out goes on; what it opens late has nobody else to close it.
      this.runAll().catch((error: unknown) => {
        process.stderr.write(`clean-up after a scenario failed: ${String(error)}\n`);
      });
    }
  }

  /** Closes everything, the last first; one that fails does not keep the others from being closed. */
  async runAll(): Promise<void> {
    this.isOver = true;
    const errors: unknown[] = [];
    for (let next = this.pending.pop(); next; next = this.pending.pop()) {
      try {
        await next();
      } catch (error) {
        errors.push(error);
      }
    }
    if (errors.length > 0) {
      throw new AggregateError(errors, 'clean-up failed');
    }
  }
}
