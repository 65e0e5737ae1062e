import type { OverheadReport, PathStats } from '../scenario/measureOverhead.js';
import type { Percentiles } from './percentiles.js';
import { renderUsage } from './renderReport.js';
import { renderTable } from './renderTable.js';

/** Renders the measured overhead for a terminal. */
export function renderOverhead(report: OverheadReport): string {
  const { p50, p95, p99 } = report.addedFirstTokenMs;
  const entryUs = report.entryCpuUsPerToken.toFixed(0);
  const gateUs = report.gateCpuUsPerToken.toFixed(0);
  return [
    renderTable(
      ['path', 'answered', 'first ms', 'gap ms', 'tokens/s of a stream'],
      [renderRow('engine', report.direct), renderRow('entry and gate', report.served)],
    ),
    `first token ${p50.toFixed(1)}/${p95.toFixed(1)}/${p99.toFixed(1)} ms later (p50/p95/p99)`,
    `${entryUs} us of entry CPU and ${gateUs} us of gate CPU for each token, all work counted`,
    renderUsage(report.usage),
    `${report.violations} violations`,
  ].join('\n');
}

function renderRow(path: string, stats: PathStats): readonly (number | string)[] {
  return [
    path,
    stats.answered,
    renderPercentiles(stats.firstTokenMs),
    renderPercentiles(stats.tokenGapMs),
    stats.tokensPerSecond.toFixed(0),
  ];
}

function renderPercentiles({ p50, p95, p99 }: Percentiles): string {
  return [p50, p95, p99].map((value) => value.toFixed(1)).join('/');
}
