import type { EndedCall } from '@galenatiller/entry';
import type { StatsdMetrics } from '@galenatiller/metrics';

/** Counts a call that has ended. */
export function recordCallMetrics(metrics: StatsdMetrics, ended: EndedCall): void {
  const { priority, error, durationMs: lastedMs } = ended;
  metrics.count({ name: 'request.accepted', tags: { priority } });
  if (!error) {
    metrics.count({ name: 'request.answered', tags: { priority } });
    metrics.timing({ name: 'request.time', tags: { priority }, durationMs: lastedMs });
    return;
  }
  const { code, outcome } = error;
  metrics.count({ name: 'request.refused', tags: { code, outcome } });
  if (error.codeName === 'deadline-exceeded') {
    metrics.count({ name: 'request.late', tags: { priority } });
  }
}
