import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import type { CountOptions, GaugeOptions, TimingOptions } from './statsdMetrics.js';
import { type MetricName, METRICS } from './metricTable.js';

/** Receives the metrics recorded by the components of a node. */
export interface MetricSink {
  readonly count: <Name extends MetricName<'count'>>(opts: CountOptions<Name>) => void;
  readonly gauge: <Name extends MetricName<'gauge'>>(opts: GaugeOptions<Name>) => void;
  readonly timing: <Name extends MetricName<'timing'>>(opts: TimingOptions<Name>) => void;
}

/** Options of {@link PrometheusMetrics.create}. */
export interface PrometheusMetricsOptions {
  readonly nodeName: string;
  /** Updates the gauges; called before each rendering. */
  readonly refresh: (sink: MetricSink) => void;
}

/** Bucket bounds of the histograms, from a round trip within a zone to the longest deadline. */
const BUCKETS_MS = [
  1, 2, 5, 10, 20, 50, 100, 150, 200, 300, 400, 600, 800, 1_000, 1_500, 2_000, 3_000, 5_000, 8_000,
  12_000, 20_000,
];

/** The metrics of one node, in the Prometheus text format. */
export class PrometheusMetrics implements MetricSink {
  private readonly registry = new Registry();

  private readonly counters = new Map<string, Counter>();

  private readonly gauges = new Map<string, Gauge>();

  private readonly histograms = new Map<string, Histogram>();

  private constructor(private readonly opts: PrometheusMetricsOptions) {
    this.registry.setDefaultLabels({ node: opts.nodeName });
    METRICS.filter(({ role }) => role === 'router').forEach(
      ({ name, type, tags, meaning: help }) => {
        const common = {
          name: toPrometheusName(name),
          help,
          labelNames: tags,
          registers: [this.registry],
        };
        if (type === 'count') {
          this.counters.set(name, new Counter(common));
        } else if (type === 'gauge') {
          this.gauges.set(name, new Gauge(common));
        } else {
          this.histograms.set(name, new Histogram({ ...common, buckets: BUCKETS_MS }));
        }
      },
    );
  }

  /** Creates the metrics, each at zero. */
  static create(opts: PrometheusMetricsOptions): PrometheusMetrics {
    return new PrometheusMetrics(opts);
  }

  /** Increments a counter. */
  count<Name extends MetricName<'count'>>(opts: CountOptions<Name>): void {
    this.counters.get(opts.name)?.inc({ ...opts.tags }, opts.amount ?? 1);
  }

  /** Sets a gauge. */
  gauge<Name extends MetricName<'gauge'>>(opts: GaugeOptions<Name>): void {
    this.gauges.get(opts.name)?.set({ ...opts.tags }, opts.value);
  }

  /** Records a duration. */
  timing<Name extends MetricName<'timing'>>(opts: TimingOptions<Name>): void {
    this.histograms.get(opts.name)?.observe({ ...opts.tags }, opts.durationMs);
  }

  /** Renders the current values. */
  render(): Promise<string> {
    this.opts.refresh(this);
    return this.registry.metrics();
  }
}

/** Prometheus names may not contain dots. */
function toPrometheusName(name: string): string {
  return `galenatiller_${name.replaceAll('.', '_')}`;
}
