/** A ring buffer of typed events with hybrid logical clock timestamps. */
export { compareTimestamps } from './compareTimestamps.js';
export { describeEvent } from './describeEvent.js';
export { explainRequest } from './explainRequest.js';
export { HybridClock, MAX_CLOCK_DRIFT_MS } from './hybridClock.js';
export { mergeTimelines } from './mergeTimelines.js';
export { renderTimelineSvg } from './renderTimelineSvg.js';
export {
  MAX_DETAIL_LENGTH,
  type RecordOptions,
  Timeline,
  type TimelineOptions,
  type TimelineQuery,
} from './timeline.js';
