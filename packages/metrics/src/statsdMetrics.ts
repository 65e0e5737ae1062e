import { createLogger } from '@galenatiller/logger';
import type { NodeRole } from '@galenatiller/types';
import { StatsD } from 'hot-shots';

import type { MetricName, TagsOf } from './metricTable.js';

const PREFIX = 'galenatiller.';
/** A datagram that fits an Ethernet frame with its headers. */
const MAX_DATAGRAM_BYTES = 1_432;
const FLUSH_INTERVAL_MS = 1_000;

const log = createLogger('metrics');

/** Options of {@link StatsdMetrics.create}; an empty address sends none. */
export interface StatsdMetricsOptions {
  readonly address: string;
  readonly port: number;
  readonly nodeName: string;
  readonly role: NodeRole;
}

/** Adds to a count. */
export interface CountOptions<Name extends MetricName<'count'>> {
  readonly name: Name;
  readonly tags: TagsOf<Name>;
  /** What is added, 1 when left out. */
  readonly amount?: number;
}

/** Sets a gauge. */
export interface GaugeOptions<Name extends MetricName<'gauge'>> {
  readonly name: Name;
  readonly tags: TagsOf<Name>;
  readonly value: number;
}

/** Adds a time to a distribution. */
export interface TimingOptions<Name extends MetricName<'timing'>> {
  readonly name: Name;
  readonly tags: TagsOf<Name>;
  readonly durationMs: number;
}

/** Sends the metrics of one node as statsd datagrams. */
export class StatsdMetrics {
  private constructor(private readonly client: StatsD | undefined) {}

  /** Opens the socket of the metrics. */
  static create(opts: StatsdMetricsOptions): StatsdMetrics {
    if (opts.address === '') {
      return new StatsdMetrics(undefined);
    }
    const client = new StatsD({
      host: opts.address,
      port: opts.port,
      prefix: PREFIX,
      globalTags: { node: opts.nodeName, role: opts.role },
      maxBufferSize: MAX_DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_INTERVAL_MS,
      includeDataDogTags: false,
      includeDatadogTelemetry: false,
      errorHandler: (error) => {
        log({ message: `The metrics were not sent: ${error.message}.` });
      },
    });
    return new StatsdMetrics(client);
  }

  /** Adds to a count. */
  count<Name extends MetricName<'count'>>(opts: CountOptions<Name>): void {
    this.client?.increment(opts.name, opts.amount ?? 1, showTags(opts.tags));
  }

  /** Sets a gauge. */
  gauge<Name extends MetricName<'gauge'>>(opts: GaugeOptions<Name>): void {
    this.client?.gauge(opts.name, opts.value, showTags(opts.tags));
  }

  /** Adds a time to a distribution. */
  timing<Name extends MetricName<'timing'>>(opts: TimingOptions<Name>): void {
    this.client?.timing(opts.name, opts.durationMs, showTags(opts.tags));
  }

  /** Sends what is buffered and closes the socket. */
  close(): Promise<void> {
    const { client } = this;
    if (!client) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      client.close(() => {
        resolve();
      });
    });
  }
}

function showTags(tags: object): string[] {
  return Object.entries(tags).map(([name, value]) => `${name}:${String(value)}`);
}
