/** Renders what routers cost. */
import { renderTable } from '../report/renderTable.js';
import { type Phase, PHASES, type SiteCosts } from './measureSite.js';
import type { ProcessCost } from './processCost.js';

const UNITS: Readonly<Record<Phase, string>> = {
  start: 'a start',
  idle: 'a second without calls',
  plain: 'a call without stages',
  stream: 'a stream of ten events',
  staged: 'a call with two stages',
};

/** Parts and functions that are shown; smaller ones are added up. */
const MAX_ROWS = 40;

/** Renders the medians over some runs of each program. */
export function renderCosts(runs: ReadonlyMap<string, readonly SiteCosts[]>): string {
  const rows = PHASES.flatMap((phase) =>
    [...runs].map(([program, results]) => {
      const median = (name: keyof ProcessCost): string =>
        computeMedian(results.map(({ costs }) => costs.get(phase)?.[name] ?? 0)).toFixed(2);
      const cpus = results.map(({ costs }) => costs.get(phase)?.cpuMs ?? 0);
      const range = `${Math.min(...cpus).toFixed(2)} to ${Math.max(...cpus).toFixed(2)}`;
      const counts = (['systemMs', 'reads', 'writes', 'wakeUps'] as const).map(median);
      return [UNITS[phase], program, median('cpuMs'), range, ...counts];
    }),
  );
  const head = ['for each', 'program', 'CPU ms', 'range', 'system ms', 'reads', 'writes', 'sleeps'];
  const counts = [...runs].map(([program, results]) => {
    const answered = results.reduce((sum, result) => sum + result.answered, 0);
    const failures = results.flatMap((result) => result.failures);
    const reasons = [...new Set(failures)].map(
      (reason) => `${failures.filter((failure) => failure === reason).length} ${reason}`,
    );
    const failed = [failures.length, ...reasons].join(', ');
    return `${program}: ${results.length} runs, ${answered} calls answered, failed: ${failed}`;
  });
  return [renderTable(head, rows), ...counts].join('\n');
}

/** Renders the CPU profile of one run, with the idle cost inside each phase. */
export function renderParts({ parts }: SiteCosts): string {
  const totals = new Map<string, number>();
  parts.forEach((times) =>
    times.forEach((timeMs, part) => totals.set(part, (totals.get(part) ?? 0) + timeMs)),
  );
  const ranked = [...totals].sort(([, left], [, right]) => right - left).map(([part]) => part);
  const sum = (phase: Phase, names: readonly string[]): string =>
    names.reduce((total, name) => total + (parts.get(phase)?.get(name) ?? 0), 0).toFixed(3);
  const shown = ranked.slice(0, MAX_ROWS).map((part) => ({ part, names: [part] }));
  const rest = { part: 'all smaller ones', names: ranked.slice(MAX_ROWS) };
  const rows = [...shown, rest, { part: 'sum', names: ranked }].map(({ part, names }) => [
    part,
    ...PHASES.map((phase) => sum(phase, names)),
  ]);
  return renderTable(['CPU ms by part', ...PHASES], rows);
}

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const [low = 0, high = 0] = [sorted[sorted.length - 1 - middle], sorted[middle]];
  return (low + high) / 2;
}
