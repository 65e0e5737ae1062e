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

const ROUND_INTERVAL_MS = 1_000;

/** Reports new events round by round until it is stopped; a round without an answer is told. */
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
    await opts.platform.timer.sleep({ delayMs: ROUND_INTERVAL_MS, signal: opts.stop });
  }
  return Result.ok();
}
