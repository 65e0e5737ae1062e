import type { MetricTags } from '@galenatiller/metrics';

const PRIORITY_TAGS: readonly MetricTags['callPriority'][] = ['0', '1', '2', '3'];

/** The tag of a priority; those after the first four share one. */
export function toPriorityTag(priority: number): MetricTags['callPriority'] {
  return PRIORITY_TAGS[priority] ?? 'lower';
}
