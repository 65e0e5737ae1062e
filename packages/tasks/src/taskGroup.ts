/** Running tasks that a graceful shutdown waits for. */
export class TaskGroup {
  private readonly running = new Set<Promise<void>>();

  private constructor(private readonly onFailure: (error: unknown) => void) {}

  /** Makes an empty group; `onFailure` is told of each task that throws. */
  static create(opts: { readonly onFailure: (error: unknown) => void }): TaskGroup {
    return new TaskGroup(opts.onFailure);
  }

  /** Number of tasks that run. */
  get size(): number {
    return this.running.size;
  }

  /** Starts a task and follows it to its end. */
  start(task: () => Promise<void>): void {
    const run = task()
      .catch(this.onFailure)
      .finally(() => {
        this.running.delete(run);
      });
    this.running.add(run);
  }

  /** Resolves when no task runs. */
  async drain(): Promise<void> {
    while (this.running.size > 0) {
      await Promise.all(this.running);
    }
  }
}
