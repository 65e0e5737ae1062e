/** What the attempts of a call have come to so far. */
export class CallProgress {
  private readonly triedIds = new Set<string>();

  private sendCount = 0;

  private runCount = 0;

  private lastEventId: string;

  private begun = false;

  private failure = '';

  private constructor(opts: { readonly lastEventId: string }) {
    this.lastEventId = opts.lastEventId;
  }

  /** Starts before the first send; `lastEventId` is the last event that the caller has. */
  static create(opts: { readonly lastEventId: string }): CallProgress {
    return new CallProgress(opts);
  }

  /** Ids of the targets that the call was sent to. */
  get tried(): ReadonlySet<string> {
    return this.triedIds;
  }

  /** Sends so far. */
  get sends(): number {
    return this.sendCount;
  }

  /** Sends after which the call may have run. */
  get runs(): number {
    return this.runCount;
  }

  /** Last event that the caller has; empty when it has none. */
  get resumeAfter(): string {
    return this.lastEventId;
  }

  /** Whether the answer to the caller has begun. */
  get hasBegun(): boolean {
    return this.begun;
  }

  /** Why the last attempt failed; empty before one has. */
  get lastFailure(): string {
    return this.failure;
  }

  /** Counts a send to a target. */
  recordSend(targetId: string): void {
    this.sendCount += 1;
    this.triedIds.add(targetId);
  }

  /** Counts that the last send may have run. */
  recordRun(): void {
    this.runCount += 1;
  }

  /** Takes how far the answer has been passed on. */
  recordForwarded(opts: { readonly hasBegun: boolean; readonly lastEventId: string }): void {
    this.begun = opts.hasBegun;
    this.lastEventId = opts.lastEventId;
  }

  /** Takes why an attempt failed. */
  recordFailure(detail: string): void {
    this.failure = detail;
  }
}
