import type { Duties } from '@galenatiller/duty';
import type { GalenatillerError } from '@galenatiller/error';
import type { MetricSink, MetricTags } from '@galenatiller/metrics';
import type { BatchEvent, UnevenEvent } from '@galenatiller/pool';
import type { StatedEra } from '@galenatiller/store';
import type { CallKind } from '@galenatiller/types';

import type { EventLoopWatch } from './eventLoopWatch.js';
import type { RouterContext } from './routerContext.js';

/** Records one batch call to a stage worker. */
export function recordBatchMetrics(metrics: MetricSink, event: BatchEvent): void {
  const { kind, tookMs, waitedMs, requestIds } = event;
  metrics.count({ name: 'router.stage_calls', tags: { batch: kind } });
  metrics.count({ name: 'router.stage_pieces', tags: {}, amount: requestIds.length });
  if (event.withoutRoom > 0) {
    const amount = event.withoutRoom;
    metrics.count({ name: 'router.stage_results_without_room', tags: {}, amount });
  }
  if (event.isBegunEarly) {
    metrics.count({ name: 'router.stage_calls_begun', tags: {} });
  }
  metrics.timing({ name: 'router.stage_call_time', tags: {}, durationMs: tookMs });
  metrics.timing({ name: 'router.stage_wait_time', tags: {}, durationMs: waitedMs });
}

/** Records that a stage worker that states that it is slow takes less than it could. */
export function recordUneven(metrics: MetricSink, event: UnevenEvent): void {
  const name =
    event === 'deferred' ? 'router.stage_takes_deferred' : 'router.stage_calls_shortened';
  metrics.count({ name, tags: {} });
}

/** Options of {@link recordCallMetrics}. */
export interface RecordCallMetricsOptions {
  readonly metrics: MetricSink;
  readonly callKind: CallKind;
  readonly ending: MetricTags['ending'];
  readonly tookMs: number;
}

/** Records a call that has ended. */
export function recordCallMetrics(opts: RecordCallMetricsOptions): void {
  const { metrics, callKind, ending, tookMs } = opts;
  metrics.count({ name: 'router.calls', tags: { callKind, ending } });
  metrics.timing({ name: 'router.call_time', tags: { callKind }, durationMs: tookMs });
}

/** Classifies the ending of a call that got an error response from the router itself. */
export function classifyEnding(error: GalenatillerError): MetricTags['ending'] {
  if (error.codeName === 'cancelled') {
    return 'caller-gone';
  }
  return error.outcome === 'not-run' ? 'refused-not-run' : 'failed';
}

/** Options of {@link reportGauges}. */
export interface ReportGaugesOptions {
  readonly sink: MetricSink;
  readonly context: RouterContext;
  /** Number of calls in progress. */
  readonly calls: number;
  readonly nodeCount: () => number;
  readonly eventLoop: Pick<EventLoopWatch, 'lagMs'>;
  readonly storeEra: Pick<StatedEra, 'current'>;
  /** Undefined if the settings name none. */
  readonly duties: Pick<Duties, 'all'> | undefined;
}

/** Sets the gauges of a router. */
export function reportGauges(opts: ReportGaugesOptions): void {
  const { sink, context } = opts;
  const evidenceAgeMs = Math.min(context.evidenceAgeMs(), Number.MAX_SAFE_INTEGER);
  sink.gauge({ name: 'router.calls_in_progress', tags: {}, value: opts.calls });
  sink.gauge({ name: 'router.members', tags: {}, value: opts.nodeCount() });
  sink.gauge({ name: 'router.targets', tags: {}, value: context.targets.size });
  const invalidRoutes = context.routes.currentConfiguration()?.invalidRoutes.length ?? 0;
  sink.gauge({ name: 'router.invalid_routes', tags: {}, value: invalidRoutes });
  const versionsStopped = context.rollouts.stoppedCount;
  sink.gauge({ name: 'router.versions_stopped', tags: {}, value: versionsStopped });
  const { paused, leaving } = context.notices.counts();
  sink.gauge({ name: 'router.targets_paused', tags: {}, value: paused });
  sink.gauge({ name: 'router.targets_leaving', tags: {}, value: leaving });
  sink.gauge({ name: 'router.targets_slow', tags: {}, value: context.loads.countSlow() });
  sink.gauge({ name: 'router.evidence_age', tags: {}, value: evidenceAgeMs });
  sink.gauge({ name: 'router.store_era', tags: {}, value: opts.storeEra.current });
  opts.duties?.all().forEach(({ name: duty, current }) => {
    sink.gauge({ name: 'router.duty_held', tags: { duty }, value: current() ? 1 : 0 });
  });
  sink.gauge({ name: 'router.event_loop_lag', tags: {}, value: opts.eventLoop.lagMs });
}
