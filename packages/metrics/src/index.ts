/** The metrics of a node, sent to a statsd server or served as Prometheus text. */
export type { MetricDefinition, MetricTags, MetricType } from './metricDefinition.js';
export {
  type CountOptions,
  type GaugeOptions,
  StatsdMetrics,
  type StatsdMetricsOptions,
  type TimingOptions,
} from './statsdMetrics.js';
export { type MetricName, METRICS, type TagsOf } from './metricTable.js';
export {
  PrometheusMetrics,
  type PrometheusMetricsOptions,
  type MetricSink,
} from './prometheusMetrics.js';
