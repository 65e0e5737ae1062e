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

/** What an attempt yields: parts in order, then one end. */
export type AttemptEvent =
  | { readonly kind: 'part'; readonly part: StagePart }
  | { readonly kind: 'end'; readonly end: StageEnd };

interface RunningAttempt {
  readonly targetName: string;
  readonly progress: Mailbox<AttemptEvent>;
}

/** The state of the link to one gate, shared by the link's task and the calls that use it. */
export class GateLink {
  private link: Link | undefined;

  private reports: readonly TargetReport[] = [];

  private leaving = false;

  private reportedAtMs = 0;

  private heardAtMs = 0;

  private readonly attempts = new Map<string, RunningAttempt>();

  private readonly inFlight = new Map<string, number>();

  private readonly sentSinceReport = new Map<string, number>();

  private constructor(
    /** The gate's host as listed. */
    readonly host: Host,
    private readonly timer: TimerService,
  ) {}

  /** Makes the state of a link that is not open yet. */
  static create(opts: { readonly host: Host; readonly timer: TimerService }): GateLink {
    return new GateLink(opts.host, opts.timer);
  }

  /** Whether orders can be sent. */
  get isOpen(): boolean {
    return this.link !== undefined;
  }

  /** Whether no attempt runs behind the link. */
  get isIdle(): boolean {
    return this.attempts.size === 0;
  }

  /** Whether the gate said that it takes no new work. */
  get isLeaving(): boolean {
    return this.leaving;
  }

  /** Targets that the gate reported last. */
  get targetReports(): readonly TargetReport[] {
    return this.reports;
  }

  /** Age of the last full report. */
  get reportAgeMs(): number {
    return this.timer.nowMs() - this.reportedAtMs;
  }

  /** Time since the last frame from the gate. */
  get silenceMs(): number {
    return this.timer.nowMs() - this.heardAtMs;
  }

  /** Attempts at a target that have not ended. */
  countOwnInFlight(targetName: string): number {
    return this.inFlight.get(targetName) ?? 0;
  }

  /** Attempts sent to a target after its last report. */
  countSentSinceReport(targetName: string): number {
    return this.sentSinceReport.get(targetName) ?? 0;
  }

  /** Sends an order; the mailbox always gets an end. */
  startAttempt(order: StageRequest): Mailbox<AttemptEvent> {
    const progress = Mailbox.create<AttemptEvent>();
    const key = keyOf(order);
    this.attempts.set(key, { targetName: order.targetName, progress });
    this.inFlight.set(order.targetName, this.countOwnInFlight(order.targetName) + 1);
    if (this.link?.send({ kind: 'stage-run', order }) !== true) {
      this.endAttempt(key, errorEnd('link-unopened', `gate ${this.host.name}`));
      return progress;
    }
    this.sentSinceReport.set(order.targetName, this.countSentSinceReport(order.targetName) + 1);
    return progress;
  }

  /** Gives an attempt up: its mailbox ends and the gate is told. */
  cancelAttempt(attempt: AttemptId, end: StageEnd): void {
    if (!this.attempts.has(keyOf(attempt))) {
      return;
    }
    const { requestId, stageIndex } = attempt;
    this.link?.send({
      kind: 'stage-cancel',
      attempt: { requestId, stageIndex, attempt: attempt.attempt },
    });
    this.endAttempt(keyOf(attempt), end);
  }

  /** The link's task tells that the link is open. */
  onOpened(link: Link): void {
    this.link = link;
    this.leaving = false;
    this.heardAtMs = this.timer.nowMs();
  }

  /** Takes one frame from the gate. */
  handleFrame(frame: NodeFrame): void {
    this.heardAtMs = this.timer.nowMs();
    if (frame.kind === 'stage-part') {
      const { part } = frame;
      // A part of an attempt that was given up finds no mailbox and is dropped.
      this.attempts.get(keyOf(frame.attempt))?.progress.put({ kind: 'part', part });
      return;
    }
    if (frame.kind === 'stage-end') {
      this.takeReport(frame.end);
      this.endAttempt(keyOf(frame.attempt), frame.end);
      return;
    }
    if (frame.kind === 'targets') {
      this.reports = frame.reports;
      this.leaving = frame.leaving;
      this.reportedAtMs = this.timer.nowMs();
      this.sentSinceReport.clear();
    }
  }

  /** The link's task tells that the link is gone; what ran there may have run. */
  onClosed(): void {
    this.link = undefined;
    this.reports = [];
    const end = errorEnd('link-lost', `gate ${this.host.name}`);
    [...this.attempts.keys()].forEach((key) => {
      this.endAttempt(key, end);
    });
  }

  /** Sends a frame that belongs to no attempt. */
  send(frame: NodeFrame): void {
    this.link?.send(frame);
  }

  private takeReport(end: StageEnd): void {
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
    attempt.progress.put({ kind: 'end', end });
    attempt.progress.close();
  }
}

function keyOf(attempt: AttemptId): string {
  return `${attempt.requestId}/${attempt.stageIndex}/${attempt.attempt}`;
}

function errorEnd(name: 'link-lost' | 'link-unopened', detail: string): StageEnd {
  return toStageEnd(GalenatillerError.create({ name, detail }));
}
