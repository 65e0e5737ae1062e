import { GalenatillerError } from '@galenatiller/error';
import { toStageEnd, type Link, type NodeFrame } from '@galenatiller/node';
import { Mailbox } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type {
  AttemptId,
  Host,
  StageEnd,
  StageRequest,
  StagePart,
  TargetReport,
} from '@galenatiller/types';

/** Event of an attempt: any number of parts in order, then exactly one end. */
export type AttemptEvent =
  | { readonly kind: 'part'; readonly part: StagePart }
  | { readonly kind: 'end'; readonly end: StageEnd };

interface RunningAttempt {
  readonly targetName: string;
  readonly events: Mailbox<AttemptEvent>;
}

/** State of the link to one gate, shared by the link's task and the calls that use it. */
export class GateLink {
  private link: Link | undefined;

  private reports: readonly TargetReport[] = [];

  private leaving = false;

  private reportedAtMs = 0;

  private lastFrameAtMs = 0;

  private readonly attempts = new Map<string, RunningAttempt>();

  private readonly inFlight = new Map<string, number>();

  private readonly sentSinceReport = new Map<string, number>();

  private constructor(
    /** The gate's entry in the host list. */
    readonly host: Host,
    private readonly timer: TimerService,
  ) {}

  /** Creates the state of a link that is not open yet. */
  static create(opts: { readonly host: Host; readonly timer: TimerService }): GateLink {
    return new GateLink(opts.host, opts.timer);
  }

  /** Whether stage requests can be sent. */
  get isOpen(): boolean {
    return this.link !== undefined;
  }

  /** Whether no attempt is in progress on this link. */
  get isIdle(): boolean {
    return this.attempts.size === 0;
  }

  /** Whether the gate has announced that it accepts no new work. */
  get isLeaving(): boolean {
    return this.leaving;
  }

  /** The latest report of each target behind the gate. */
  get targetReports(): readonly TargetReport[] {
    return this.reports;
  }

  /** Age of the latest full report. */
  get reportAgeMs(): number {
    return this.timer.nowMs() - this.reportedAtMs;
  }

  /** Time since the last frame from the gate. */
  get silenceMs(): number {
    return this.timer.nowMs() - this.lastFrameAtMs;
  }

  /** Counts this entry's attempts on a target that have not ended. */
  countOwnInFlight(targetName: string): number {
    return this.inFlight.get(targetName) ?? 0;
  }

  /** Counts the attempts sent to a target since its latest report. */
  countSentSinceReport(targetName: string): number {
    return this.sentSinceReport.get(targetName) ?? 0;
  }

  /** Sends a stage request. The returned mailbox always receives an end event. */
  startAttempt(request: StageRequest): Mailbox<AttemptEvent> {
    const events = Mailbox.create<AttemptEvent>();
    const key = toAttemptKey(request);
    this.attempts.set(key, { targetName: request.targetName, events });
    this.inFlight.set(request.targetName, this.countOwnInFlight(request.targetName) + 1);
    if (this.link?.send({ kind: 'stage-run', order: request }) !== true) {
      this.endAttempt(key, createErrorEnd('link-unopened', `gate ${this.host.name}`));
      return events;
    }
    this.sentSinceReport.set(request.targetName, this.countSentSinceReport(request.targetName) + 1);
    return events;
  }

  /** Cancels an attempt: ends its mailbox and notifies the gate. */
  cancelAttempt(attempt: AttemptId, end: StageEnd): void {
    if (!this.attempts.has(toAttemptKey(attempt))) {
      return;
    }
    const { requestId, stageIndex } = attempt;
    this.link?.send({
      kind: 'stage-cancel',
      attempt: { requestId, stageIndex, attempt: attempt.attempt },
    });
    this.endAttempt(toAttemptKey(attempt), end);
  }

  /** Called by the link's task once the link is open. */
  onOpened(link: Link): void {
    this.link = link;
    this.leaving = false;
    this.lastFrameAtMs = this.timer.nowMs();
  }

  /** Processes one frame from the gate. */
  handleFrame(frame: NodeFrame): void {
    this.lastFrameAtMs = this.timer.nowMs();
    if (frame.kind === 'stage-part') {
      const { part } = frame;
      // Parts of a cancelled attempt no longer have a mailbox and are dropped.
      this.attempts.get(toAttemptKey(frame.attempt))?.events.put({ kind: 'part', part });
      return;
    }
    if (frame.kind === 'stage-end') {
      this.updateReport(frame.end);
      this.endAttempt(toAttemptKey(frame.attempt), frame.end);
      return;
    }
    if (frame.kind === 'targets') {
      this.reports = frame.reports;
      this.leaving = frame.leaving;
      this.reportedAtMs = this.timer.nowMs();
      this.sentSinceReport.clear();
    }
  }

  /** Called by the link's task when the link is lost. Attempts in flight may have run. */
  onClosed(): void {
    this.link = undefined;
    this.reports = [];
    const end = createErrorEnd('link-lost', `gate ${this.host.name}`);
    [...this.attempts.keys()].forEach((key) => {
      this.endAttempt(key, end);
    });
  }

  /** Sends a frame that does not belong to an attempt. */
  send(frame: NodeFrame): void {
    this.link?.send(frame);
  }

  private updateReport(end: StageEnd): void {
    const { report } = end;
    if (!report) {
      return;
    }
    this.reports = this.reports.map((known) => (known.name === report.name ? report : known));
    this.sentSinceReport.delete(report.name);
  }

  private endAttempt(key: string, end: StageEnd): void {
    const attempt = this.attempts.get(key);
    if (!attempt) {
      return;
    }
    this.attempts.delete(key);
    this.inFlight.set(attempt.targetName, this.countOwnInFlight(attempt.targetName) - 1);
    attempt.events.put({ kind: 'end', end });
    attempt.events.close();
  }
}

function toAttemptKey(attempt: AttemptId): string {
  return `${attempt.requestId}/${attempt.stageIndex}/${attempt.attempt}`;
}

function createErrorEnd(name: 'link-lost' | 'link-unopened', detail: string): StageEnd {
  return toStageEnd(GalenatillerError.create({ name, detail }));
}
