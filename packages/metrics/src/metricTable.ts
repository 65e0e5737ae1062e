import type { MetricDefinition, MetricTags, MetricType } from './metricDefinition.js';
import { ROUTER_METRICS } from './routerMetrics.js';
import { STAGE_METRICS } from './stageMetrics.js';

/** Every metric; docs/METRICS.md is generated from this table. */
export const METRICS = [
  {
    name: 'request.accepted',
    type: 'count',
    unit: 'requests',
    tags: ['priority'],
    role: 'entry',
    meaning: 'Requests accepted from callers.',
  },
  {
    name: 'request.refused',
    type: 'count',
    unit: 'requests',
    tags: ['code', 'outcome'],
    role: 'entry',
    meaning: 'Requests refused or failed, by result code and outcome.',
  },
  {
    name: 'request.limited',
    type: 'count',
    unit: 'callers',
    tags: ['limit'],
    role: 'entry',
    meaning:
      'Connections closed and requests refused to keep memory and descriptors, by the limit.',
  },
  {
    name: 'request.answered',
    type: 'count',
    unit: 'requests',
    tags: ['priority'],
    role: 'entry',
    meaning: 'Requests answered whole within their deadline.',
  },
  {
    name: 'request.late',
    type: 'count',
    unit: 'requests',
    tags: ['priority'],
    role: 'entry',
    meaning: 'Requests whose deadline passed before the answer was whole.',
  },
  {
    name: 'request.time',
    type: 'timing',
    unit: 'ms',
    tags: ['priority'],
    role: 'entry',
    meaning: 'Time from acceptance to the whole answer.',
  },
  {
    name: 'request.first_token',
    type: 'timing',
    unit: 'ms',
    tags: ['priority'],
    role: 'entry',
    meaning: 'Time from acceptance to the first token.',
  },
  {
    name: 'stage.ended',
    type: 'count',
    unit: 'attempts',
    tags: ['kind', 'outcome'],
    role: 'gate',
    meaning: 'Attempts at stages that ended, by outcome.',
  },
  {
    name: 'stage.queue_time',
    type: 'timing',
    unit: 'ms',
    tags: ['kind'],
    role: 'gate',
    meaning: 'Time that an attempt waited at the gate.',
  },
  {
    name: 'stage.run_time',
    type: 'timing',
    unit: 'ms',
    tags: ['kind'],
    role: 'gate',
    meaning: 'Time that an attempt ran on its target.',
  },
  {
    name: 'stage.retried',
    type: 'count',
    unit: 'attempts',
    tags: ['kind'],
    role: 'entry',
    meaning: 'Attempts beyond the first.',
  },
  {
    name: 'stream.resumed',
    type: 'count',
    unit: 'streams',
    tags: [],
    role: 'entry',
    meaning: 'Broken streams that went on from another target.',
  },
  {
    name: 'target.in_flight',
    type: 'gauge',
    unit: 'requests',
    tags: [],
    role: 'gate',
    meaning: 'Attempts that run on the targets of the gate.',
  },
  {
    name: 'target.queued',
    type: 'gauge',
    unit: 'requests',
    tags: [],
    role: 'gate',
    meaning: 'Attempts that wait at the gate.',
  },
  {
    name: 'target.count',
    type: 'gauge',
    unit: 'targets',
    tags: ['state'],
    role: 'gate',
    meaning: 'Targets of the gate, by state.',
  },
  {
    name: 'link.open',
    type: 'gauge',
    unit: 'links',
    tags: [],
    role: 'both',
    meaning: 'Open links to other nodes.',
  },
  {
    name: 'control.bytes',
    type: 'count',
    unit: 'bytes',
    tags: ['direction'],
    role: 'both',
    meaning: 'Bytes of reports and other control traffic between nodes.',
  },
  {
    name: 'store.calls',
    type: 'count',
    unit: 'calls',
    tags: ['result'],
    role: 'both',
    meaning: 'Calls to the store of the platform; a waiting watch counts as one.',
  },
  {
    name: 'store.time',
    type: 'timing',
    unit: 'ms',
    tags: ['result'],
    role: 'both',
    meaning: 'Time of a call to the store.',
  },
  {
    name: 'configuration.revision',
    type: 'gauge',
    unit: 'revision',
    tags: [],
    role: 'both',
    meaning: 'Revision of the configuration in force.',
  },
  {
    name: 'timeline.dropped',
    type: 'gauge',
    unit: 'events',
    tags: [],
    role: 'both',
    meaning: 'Events of the time line that gave way to later ones.',
  },
  {
    name: 'process.cpu',
    type: 'gauge',
    unit: 'share of a core',
    tags: [],
    role: 'both',
    meaning: 'CPU that the process uses.',
  },
  {
    name: 'process.memory',
    type: 'gauge',
    unit: 'bytes',
    tags: [],
    role: 'both',
    meaning: 'Resident memory of the process.',
  },
  ...ROUTER_METRICS,
  ...STAGE_METRICS,
] as const satisfies readonly MetricDefinition[];

type Metric = (typeof METRICS)[number];

/** Names of the metrics of one type. */
export type MetricName<Type extends MetricType> = Extract<Metric, { readonly type: Type }>['name'];

/** The exact set of tags of a metric. */
export type TagsOf<Name extends Metric['name']> = Pick<
  MetricTags,
  Extract<Metric, { readonly name: Name }>['tags'][number]
>;
