import type { TargetsFrame } from '@galenatiller/node';
import type { TimerService } from '@galenatiller/timer';

import { isNewsworthy } from './isNewsworthy.js';

/** Options of {@link ReportTeller.create}. */
export interface ReportTellerOptions {
  readonly timer: TimerService;
  readonly readFrame: () => TargetsFrame;
  readonly send: (frame: TargetsFrame) => void;
}

/** Time after which a report is repeated though nothing has changed. */
const UNCHANGED_REPORT_INTERVAL_MS = 5_000;

/** Tells one entry of the targets; replies carry reports too, so what is unchanged is seldom told. */
export class ReportTeller {
  private told: TargetsFrame | undefined;

  private toldAtMs = 0;

  private constructor(private readonly opts: ReportTellerOptions) {}

  /** Makes a teller that has told nothing. */
  static create(opts: ReportTellerOptions): ReportTeller {
    return new ReportTeller(opts);
  }

  /** Sends the report if it is due or says something new. */
  tell(): void {
    const frame = this.opts.readFrame();
    const nowMs = this.opts.timer.nowMs();
    const isDue = nowMs - this.toldAtMs >= UNCHANGED_REPORT_INTERVAL_MS;
    if (this.told && !isDue && !isNewsworthy(this.told, frame)) {
      return;
    }
    this.opts.send(frame);
    this.told = frame;
    this.toldAtMs = nowMs;
  }
}
