/** Weight of the newest answer: about the last twenty count. */
const NEWEST_WEIGHT = 0.1;

/** Usual time until the targets of a service begin to answer. */
export class AnswerTimes {
  private readonly usual = new Map<string, number>();

  private constructor() {}

  /** Makes a record without answers. */
  static create(): AnswerTimes {
    return new AnswerTimes();
  }

  /** Takes the time from a send to the start of its answer. */
  note(opts: { readonly service: string; readonly tookMs: number }): void {
    const { service, tookMs } = opts;
    const before = this.usual.get(service) ?? tookMs;
    this.usual.set(service, before + (tookMs - before) * NEWEST_WEIGHT);
  }

  /** 0 before the first answer. */
  usualMs(service: string): number {
    return this.usual.get(service) ?? 0;
  }
}
