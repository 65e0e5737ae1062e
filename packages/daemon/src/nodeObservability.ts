import type { NodeStatus, OperatorServer } from '@galenatiller/operator';
import type { NodeSettings } from '@galenatiller/settings';
import type { Cancel, TimerService } from '@galenatiller/timer';

import { createMetrics } from './createMetrics.js';
import { createTimeline } from './createTimeline.js';
import { scheduleGauges } from './scheduleGauges.js';
import { startNodeOperatorServer } from './startNodeOperatorServer.js';

/** Options of {@link NodeObservability.create}. */
export interface NodeObservabilityOptions {
  readonly settings: NodeSettings;
  readonly timer: TimerService;
}

/** Observability of a node: its timeline, its metrics and its operator server. */
export class NodeObservability {
  /** Most recent events of the node. */
  readonly timeline;

  /** Metrics of the node. */
  readonly metrics;

  private readonly servers: Promise<OperatorServer>[] = [];

  private cancelGauges: Cancel | undefined;

  private constructor(private readonly opts: NodeObservabilityOptions) {
    this.timeline = createTimeline(opts);
    this.metrics = createMetrics(opts.settings);
  }

  /** Creates the timeline and the metrics of a node that is starting. */
  static create(opts: NodeObservabilityOptions): NodeObservability {
    return new NodeObservability(opts);
  }

  /** Starts the operator server and the periodic gauges. */
  start(readStatus: () => NodeStatus): void {
    const { settings, timer } = this.opts;
    const { timeline, metrics } = this;
    this.servers.push(startNodeOperatorServer({ settings, timeline, timer, readStatus }));
    this.cancelGauges = scheduleGauges({ timer, metrics, timeline, readStatus });
  }

  /** Stops what `start` has started, and sends the last metrics. */
  async close(): Promise<void> {
    this.cancelGauges?.();
    const servers = await Promise.all(this.servers);
    await Promise.all(servers.map((server) => server.stop()));
    await this.metrics.close();
  }
}
