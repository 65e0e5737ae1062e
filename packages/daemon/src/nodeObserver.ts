import type { NodeStatus, OperatorServer } from '@galenatiller/operator';
import type { NodeSettings } from '@galenatiller/settings';
import type { Cancel, TimerService } from '@galenatiller/timer';

import { createMetrics } from './createMetrics.js';
import { createTimeline } from './createTimeline.js';
import { sendGauges } from './sendGauges.js';
import { serveNodeOperators } from './serveNodeOperators.js';

/** Options of {@link NodeObserver.create}. */
export interface NodeObserverOptions {
  readonly settings: NodeSettings;
  readonly timer: TimerService;
}

/** What lets people see a node: its time line, its metrics and its operators' port. */
export class NodeObserver {
  /** The latest events of the node. */
  readonly timeline;

  /** Metrics of the node. */
  readonly metrics;

  private readonly servers: Promise<OperatorServer>[] = [];

  private cancelGauges: Cancel | undefined;

  private constructor(private readonly opts: NodeObserverOptions) {
    this.timeline = createTimeline(opts);
    this.metrics = createMetrics(opts.settings);
  }

  /** Makes the observer of a node that starts. */
  static create(opts: NodeObserverOptions): NodeObserver {
    return new NodeObserver(opts);
  }

  /** Serves operators and sends gauges from now on. */
  watch(readStatus: () => NodeStatus): void {
    const { settings, timer } = this.opts;
    const { timeline, metrics } = this;
    this.servers.push(serveNodeOperators({ settings, timeline, readStatus }));
    this.cancelGauges = sendGauges({ timer, metrics, timeline, readStatus });
  }

  /** Ends what `watch` began, and sends the last metrics. */
  async close(): Promise<void> {
    this.cancelGauges?.();
    const servers = await Promise.all(this.servers);
    await Promise.all(servers.map((server) => server.stop()));
    await this.metrics.close();
  }
}
