/** The running tasks that a graceful shutdown waits for. */
export class TaskGroup {
  private readonly running = new Set<Promise<void>>();

  private constructor(private readonly onFailure: (error: unknown) => void) {}

  /** Creates an empty group; `onFailure` is called with the error of each task that throws. */
  static create(opts: { readonly onFailure: (error: unknown) => void }): TaskGroup {
    return new TaskGroup(opts.onFailure);
  }

  /** Number of running tasks. */
  get size(): number {
    return this.running.size;
  }

  /** Starts a task and tracks it until it ends. */
  start(task: () => Promise<void>): void {
    const run = task()
      .catch(this.onFailure)
      .finally(() => {
        this.running.delete(run);
      });
    this.running.add(run);
  }

  /** Resolves when no task is running. */
  async drain(): Promise<void> {
    while (this.running.size > 0) {
      await Promise.all(this.running);
    }
  }
}
