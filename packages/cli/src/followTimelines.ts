import type { HybridTimestamp } from '@galenatiller/types';
import { Result } from 'true-myth';
import type { Unit } from 'true-myth/unit';

import type { CommandFailure } from './commandFailure.js';
import type { CommandReport, OnProgress } from './commandReport.js';
import type { Platform } from './platform.js';
import { readTimelines, type TimelineFilter } from './readTimelines.js';

/** Options of {@link followTimelines}. */
export interface FollowTimelinesOptions extends TimelineFilter {
  readonly platform: Platform;
  readonly stop: AbortSignal;
  readonly emit: (report: CommandReport) => void;
  readonly onProgress: OnProgress;
}

/** Time between two polls of the nodes. */
const POLL_INTERVAL_MS = 1_000;

/** Polls for new events and reports them until it is stopped. A failed poll is reported as progress. */
export async function followTimelines(
  opts: FollowTimelinesOptions,
): Promise<Result<Unit, CommandFailure>> {
  const lastTimestamps = new Map<string, HybridTimestamp>();
  while (!opts.stop.aborted) {
    const report = await readTimelines({ ...opts, lastTimestamps });
    if (report.isErr) {
      opts.onProgress(report.error.error.message);
    } else if (report.value.events.length > 0) {
      opts.emit(report.value);
      report.value.events.forEach((event) => lastTimestamps.set(event.nodeName, event.stamp));
    }
    await opts.platform.timer.sleep({ delayMs: POLL_INTERVAL_MS, signal: opts.stop });
  }
  return Result.ok();
}
