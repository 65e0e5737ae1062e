import { createLogger } from '@galenatiller/logger';
import type { NodeRole } from '@galenatiller/types';
import { StatsD } from 'hot-shots';

import type { MetricName, TagsOf } from './metricTable.js';

const PREFIX = 'galenatiller.';
/** Fits into one Ethernet frame together with the packet headers. */
const MAX_DATAGRAM_BYTES = 1_432;
const FLUSH_INTERVAL_MS = 1_000;

const log = createLogger('metrics');

/** Options of {@link StatsdMetrics.create}; no metrics are sent when the address is empty. */
export interface StatsdMetricsOptions {
  readonly address: string;
  readonly port: number;
  readonly nodeName: string;
  readonly role: NodeRole;
}

/** Options for incrementing a counter. */
export interface CountOptions<Name extends MetricName<'count'>> {
  readonly name: Name;
  readonly tags: TagsOf<Name>;
  /** Added to the counter; defaults to 1. */
  readonly amount?: number;
}

/** Options for setting a gauge. */
export interface GaugeOptions<Name extends MetricName<'gauge'>> {
  readonly name: Name;
  readonly tags: TagsOf<Name>;
  readonly value: number;
}

/** Options for recording a duration. */
export interface TimingOptions<Name extends MetricName<'timing'>> {
  readonly name: Name;
  readonly tags: TagsOf<Name>;
  readonly durationMs: number;
}

/** Sends the metrics of one node as statsd datagrams. */
export class StatsdMetrics {
  private constructor(private readonly client: StatsD | undefined) {}

  /** Opens the UDP socket, unless the address is empty. */
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
        log({ message: `Metrics not sent: ${error.message}.` });
      },
    });
    return new StatsdMetrics(client);
  }

  /** Increments a counter. */
  count<Name extends MetricName<'count'>>(opts: CountOptions<Name>): void {
    this.client?.increment(opts.name, opts.amount ?? 1, formatTags(opts.tags));
  }

  /** Sets a gauge. */
  gauge<Name extends MetricName<'gauge'>>(opts: GaugeOptions<Name>): void {
    this.client?.gauge(opts.name, opts.value, formatTags(opts.tags));
  }

  /** Records a duration. */
  timing<Name extends MetricName<'timing'>>(opts: TimingOptions<Name>): void {
    this.client?.timing(opts.name, opts.durationMs, formatTags(opts.tags));
  }

  /** Sends the buffered metrics and closes the socket. */
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

function formatTags(tags: object): string[] {
  return Object.entries(tags).map(([name, value]) => `${name}:${String(value)}`);
}
