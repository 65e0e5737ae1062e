/** Sends metrics to a statsd server. */
export type { MetricRow, MetricTags, MetricType } from './metricRow.js';
export {
  type CountOptions,
  type GaugeOptions,
  Metrics,
  type MetricsOptions,
  type TimingOptions,
} from './metrics.js';
export { type MetricName, METRICS, type TagsOf } from './metricTable.js';
export { MetricsPage, type MetricsPageOptions, type MetricSink } from './metricsPage.js';
