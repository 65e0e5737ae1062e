/** Generates docs/METRICS.md from the table in packages/metrics. */
import { writeFileSync } from 'node:fs';

import { METRICS } from '@galenatiller/metrics';

const rows = METRICS.map(
  ({ name, type, unit, tags, role, meaning }) =>
    `| galenatiller.${name} | ${type} | ${unit} | ${tags.join(', ') || 'none'} | ${role} | ${meaning} |`,
);
const page = [
  '# Metrics',
  '',
  'Nodes send statsd datagrams with tags in the `|#name:value` form to `[metrics] address` and `port`,',
  'batched for a second. Each metric has the tags `node` and `role` in addition to its own. No tag',
  'names an organisation, a request or a target; for limits of one of these and questions about it, use',
  '`galenatiller` and the timeline.',
  '`node scripts/metricsPage.mjs` generates this page. No node sends the rows `stage.*`,',
  '`stream.resumed`, `target.count`, `control.bytes`, `store.*`, `request.first_token` and `process.cpu` yet.',
  '',
  'A router serves its rows as Prometheus text at the port of `[metrics] port` instead, under names with',
  '`_` in place of each dot; times are histograms in milliseconds.',
  '',
  '| metric | type | unit | tags | role | meaning |',
  '| --- | --- | --- | --- | --- | --- |',
  ...rows,
  '',
];
writeFileSync('docs/METRICS.md', page.join('\n'));
