import type { BenchReport } from './benchReport.js';
import { renderRouteTable } from './routeTable.js';
import { formatPercent, renderTable } from './renderTable.js';
import type { RoleUsage } from './computeUsageByRole.js';

/** Number of violations to print; the JSON report has all of them. */
const MAX_PRINTED_VIOLATIONS = 20;

/** Renders a report for a terminal. */
export function renderReport(report: BenchReport): string {
  const { verdict } = report;
  return [
    renderRouteTable(report.routes),
    renderTable(
      ['answered in time', 'sent', 'share'],
      // Both lists end with the row `all`; only the first one is printed.
      [...report.classes, ...report.organisations.slice(0, -1)].map((row) => [
        row.name,
        row.sent,
        formatPercent(row.attainment),
      ]),
    ),
    renderTable(
      ['refusal', 'outcome', 'count'],
      report.refusals.map((row) => [row.code, row.outcome, row.count]),
    ),
    renderTable(
      ['group', 'runs', 'wasted', 'crashes', 'busy ms', 'busy ms for one in time'],
      report.costs.map((row) => [
        row.group,
        row.runs,
        row.wastedRuns,
        row.crashes,
        row.busyMs.toFixed(0),
        row.busyMsPerInTime.toFixed(1),
      ]),
    ),
    renderUsage(report.usage),
    `${report.storeCallsPerSecond.toFixed(1)} store calls a second`,
    `${report.loadLagP99Ms.toFixed(1)} ms lag of the load generator (p99)`,
    ...verdict.violations
      .slice(0, MAX_PRINTED_VIOLATIONS)
      .map(({ kind, requestId, detail }) => `${kind}: request ${requestId}: ${detail}`),
    `${verdict.violations.length} violations`,
  ].join('\n');
}

/** Renders CPU and memory by role as a table. */
export function renderUsage(usage: readonly RoleUsage[]): string {
  return renderTable(
    ['role', 'processes', 'mean core', 'max core', 'max RSS MB'],
    usage.map((row) => [
      row.role,
      row.processes,
      formatPercent(row.meanCoreShare),
      formatPercent(row.maxCoreShare),
      row.maxRssMb.toFixed(0),
    ]),
  );
}

/** Renders the summary line: how the requests ended. */
export function renderCounts(
  verdict: Pick<BenchReport['verdict'], 'answered' | 'crossed' | 'doubled' | 'lost' | 'refused'>,
): string {
  const { answered, refused, lost, doubled, crossed } = verdict;
  return `${answered} answered, ${refused} refused, ${lost} lost, ${doubled} doubled, ${crossed} crossed`;
}
