import { StatsdMetrics } from '@galenatiller/metrics';
import type { NodeSettings } from '@galenatiller/settings';

/** Creates the statsd metrics of a node from its settings. */
export function createMetrics(settings: NodeSettings): StatsdMetrics {
  return StatsdMetrics.create({
    address: settings.metricsAddress,
    port: settings.metricsPort,
    nodeName: settings.nodeName,
    role: settings.role,
  });
}
