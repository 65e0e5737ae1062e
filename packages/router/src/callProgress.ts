/** Progress of a call over its attempts so far. */
export class CallProgress {
  private readonly triedIds = new Set<string>();

  private sendCount = 0;

  private runCount = 0;

  private hasBegun = false;

  private lastEventId: string;

  private isResponseStarted = false;

  private failure = '';

  private constructor(opts: { readonly lastEventId: string }) {
    this.lastEventId = opts.lastEventId;
  }

  /** Creates the progress before the first send; `lastEventId` is the last event that the caller has. */
  static create(opts: { readonly lastEventId: string }): CallProgress {
    return new CallProgress(opts);
  }

  /** Ids of the targets that the call was sent to. */
  get tried(): ReadonlySet<string> {
    return this.triedIds;
  }

  /** Number of sends so far. */
  get sends(): number {
    return this.sendCount;
  }

  /** Number of sends after which the call may have run. */
  get runs(): number {
    return this.runCount;
  }

  /** Id of the last event that the caller has; empty when it has none. */
  get resumeAfter(): string {
    return this.lastEventId;
  }

  /** Whether the response to the caller has started. */
  get hasStarted(): boolean {
    return this.isResponseStarted;
  }

  /** Why the last attempt failed; empty before one has. */
  get lastFailure(): string {
    return this.failure;
  }

  /** Records a send to a target. */
  recordSend(targetId: string): void {
    this.sendCount += 1;
    this.triedIds.add(targetId);
  }

  /** Records that the last send may have run the call. */
  recordRun(): void {
    this.runCount += 1;
  }

  /** Records that a target began to run the call; true for the first time. */
  recordBegin(): boolean {
    const isFirst = !this.hasBegun;
    this.hasBegun = true;
    return isFirst;
  }

  /** Records how much of the response has been forwarded. */
  recordForwarded(opts: { readonly hasStarted: boolean; readonly lastEventId: string }): void {
    this.isResponseStarted = opts.hasStarted;
    this.lastEventId = opts.lastEventId;
  }

  /** Records why an attempt failed. */
  recordFailure(detail: string): void {
    this.failure = detail;
  }
}
