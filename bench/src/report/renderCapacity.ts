import type { CapacityReport, LoadStats } from '../scenario/measureCapacity.js';
import { formatPercent, renderTable } from './renderTable.js';

/** Renders the measured capacity of one entry for a terminal. */
export function renderCapacity(report: CapacityReport): string {
  const { directStreams, servedStreams, shortRequests } = report;
  const ratio = servedStreams.perSecond / Math.max(1, directStreams.perSecond);
  return [
    renderTable(
      [
        ...['load', 'whole', 'refused', 'torn', 'a second', 'a second of entry CPU'],
        ...['generator core', 'entry core, MB', 'gate core, MB', 'fakes core'],
      ],
      [
        renderRow('streams, engines', directStreams),
        renderRow('streams, one entry', servedStreams),
        renderRow('short, one entry', shortRequests),
      ],
    ),
    `${formatPercent(ratio)} of the engines' own tokens a second came through the entry`,
  ].join('\n');
}

function renderRow(name: string, stats: LoadStats): readonly (number | string)[] {
  const renderUsage = (role: string): string => {
    const row = stats.usage.find((usage) => usage.role === role);
    return `${formatPercent(row?.maxCoreShare ?? 0)}, ${(row?.maxRssMb ?? 0).toFixed(0)}`;
  };
  return [
    name,
    ...[stats.whole, stats.refused, stats.torn, stats.perSecond.toFixed(0)],
    ...[stats.perEntryCoreSecond.toFixed(0), formatPercent(stats.generatorCoreShare)],
    ...[renderUsage('entry'), renderUsage('gate'), renderUsage('fakes')],
  ];
}
