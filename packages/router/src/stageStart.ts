/** Which pieces of a stage have begun, so that their inputs are no longer needed. */
export class StageStart {
  /** Resolves once all pieces have begun; never if the stage fails. */
  readonly allBegun: Promise<void>;

  private readonly begun = new Set<number>();

  private readonly resolveAll: () => void;

  private constructor() {
    let resolveAll = (): void => {};
    this.allBegun = new Promise((resolve) => {
      resolveAll = resolve;
    });
    this.resolveAll = resolveAll;
  }

  /** Creates the start of a stage without pieces that have begun. */
  static create(): StageStart {
    return new StageStart();
  }

  /** Records that all pieces have begun. */
  recordAll(): void {
    this.resolveAll();
  }

  /** Records that one of the pieces has begun. */
  record(piece: number, pieces: number): void {
    this.begun.add(piece);
    if (this.begun.size === pieces) {
      this.recordAll();
    }
  }
}
