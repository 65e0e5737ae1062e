import type { TimerService } from '@galenatiller/timer';

/** Options of {@link StageProgress.create}. */
export interface StageProgressOptions {
  readonly timer: TimerService;
}

/** How far the stages of a call have come, by their positions. */
export class StageProgress {
  private readonly startedAtMs = new Map<number, number>();

  private readonly done = new Set<number>();

  private constructor(private readonly opts: StageProgressOptions) {}

  /** Creates the progress of a call whose stages have not started. */
  static create(opts: StageProgressOptions): StageProgress {
    return new StageProgress(opts);
  }

  /** Forgets all stages, since they run again. */
  restart(): void {
    this.startedAtMs.clear();
    this.done.clear();
  }

  /** Records that the pieces of a stage are submitted. */
  recordStart(position: number): void {
    this.startedAtMs.set(position, this.opts.timer.nowMs());
  }

  /** Records that all pieces of a stage have results. */
  recordDone(position: number): void {
    this.done.add(position);
  }

  /** Whether all pieces of a stage have results. */
  isDone(position: number): boolean {
    return this.done.has(position);
  }

  /** Time since the pieces of a stage were submitted; 0 before. */
  runningMs(position: number): number {
    const nowMs = this.opts.timer.nowMs();
    return nowMs - (this.startedAtMs.get(position) ?? nowMs);
  }
}
