import { HeldTail } from './heldTail.js';

/** Options of {@link CallProgress.create}. */
export interface CallProgressOptions {
  /** Id of the last event that the caller has. */
  readonly lastEventId: string;
  /** Whether the caller's protocol has chunks. */
  readonly hasChunks: boolean;
}

/** Progress of a call over its attempts so far. */
export class CallProgress {
  private readonly triedIds = new Set<string>();

  private sendCount = 0;

  private runCount = 0;

  private hasBegun = false;

  private lastEventId: string;

  private isResponseStarted = false;

  private failure = '';

  /** End of the events that the caller has been sent. */
  readonly tail: HeldTail;

  private constructor(opts: CallProgressOptions) {
    this.lastEventId = opts.lastEventId;
    this.tail = HeldTail.create({ isHolding: !opts.hasChunks });
  }

  /** Creates the progress before the first send. */
  static create(opts: CallProgressOptions): CallProgress {
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
