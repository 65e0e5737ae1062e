import type { TargetsFrame } from '@galenatiller/node';
import type { TimerService } from '@galenatiller/timer';

import { isSignificantChange } from './isSignificantChange.js';

/** Options of {@link ReportSender.create}. */
export interface ReportSenderOptions {
  readonly timer: TimerService;
  readonly buildFrame: () => TargetsFrame;
  readonly send: (frame: TargetsFrame) => void;
}

/** Interval at which an unchanged report is sent again. */
const UNCHANGED_REPORT_INTERVAL_MS = 5_000;

/**
 * Sends target reports to one entry. Responses to stage requests carry reports too, so unchanged
 * reports are sent rarely.
 */
export class ReportSender {
  private lastSent: TargetsFrame | undefined;

  private lastSentAtMs = 0;

  private constructor(private readonly opts: ReportSenderOptions) {}

  /** Creates a sender that has not sent a report yet. */
  static create(opts: ReportSenderOptions): ReportSender {
    return new ReportSender(opts);
  }

  /** Sends the report if it is due or has changed significantly. */
  sendIfDue(): void {
    const frame = this.opts.buildFrame();
    const nowMs = this.opts.timer.nowMs();
    const isDue = nowMs - this.lastSentAtMs >= UNCHANGED_REPORT_INTERVAL_MS;
    if (this.lastSent && !isDue && !isSignificantChange(this.lastSent, frame)) {
      return;
    }
    this.opts.send(frame);
    this.lastSent = frame;
    this.lastSentAtMs = nowMs;
  }
}
