import { StatsdMetrics } from '@galenatiller/metrics';
import type { NodeSettings } from '@galenatiller/settings';

/** Opens the metrics of a node as its settings say. */
export function createMetrics(settings: NodeSettings): StatsdMetrics {
  return StatsdMetrics.create({
    address: settings.metricsAddress,
    port: settings.metricsPort,
    nodeName: settings.nodeName,
    role: settings.role,
  });
}
