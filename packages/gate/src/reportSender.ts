import type { TargetsFrame } from '@galenatiller/node';
import type { TimerService } from '@galenatiller/timer';

import { isSignificantChange } from './isSignificantChange.js';

/** Options of {@link ReportSender.create}. */
export interface ReportSenderOptions {
  readonly timer: TimerService;
  readonly buildFrame: () => TargetsFrame;
  readonly send: (frame: TargetsFrame) => void;
}

/** Time after which a report is repeated though nothing has changed. */
const UNCHANGED_REPORT_INTERVAL_MS = 5_000;

/** Tells one entry of the targets; replies carry reports too, so what is unchanged is seldom told. */
export class ReportSender {
  private told: TargetsFrame | undefined;

  private toldAtMs = 0;

  private constructor(private readonly opts: ReportSenderOptions) {}

  /** Makes a teller that has told nothing. */
  static create(opts: ReportSenderOptions): ReportSender {
    return new ReportSender(opts);
  }

  /** Sends the report if it is due or says something new. */
  sendIfDue(): void {
    const frame = this.opts.buildFrame();
    const nowMs = this.opts.timer.nowMs();
    const isDue = nowMs - this.toldAtMs >= UNCHANGED_REPORT_INTERVAL_MS;
    if (this.told && !isDue && !isSignificantChange(this.told, frame)) {
      return;
    }
    this.opts.send(frame);
    this.told = frame;
    this.toldAtMs = nowMs;
  }
}
