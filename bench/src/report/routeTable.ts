import Table from 'cli-table3';
import { pipe } from 'fp-ts/lib/function.js';
import * as NEA from 'fp-ts/lib/NonEmptyArray.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { TimedRequest } from '../load/sendRequest.js';
import { type Percentiles, computePercentiles } from './percentiles.js';

/** Statistics of the requests of one route. */
export interface RouteStats {
  readonly route: string;
  readonly priority: string;
  readonly deadlineMs: number;
  readonly sent: number;
  readonly answered: number;
  readonly refusedNotRun: number;
  readonly refusedOther: number;
  /** Share of the requests sent that were answered within their deadline. */
  readonly attainment: number;
  readonly durationMs: Percentiles;
  readonly firstTokenMs: Percentiles;
  readonly tokenGapMs: Percentiles;
}

const PERCENT = 100;

/** Computes the statistics of each route, sorted by route name. */
export function computeRouteStats(requests: readonly TimedRequest[]): readonly RouteStats[] {
  const byRoute = pipe(
    requests,
    RA.toArray,
    NEA.groupBy(({ route }) => route),
  );
  return Object.keys(byRoute)
    .sort()
    .flatMap((route) => computeStatsOfRoute(route, byRoute[route] ?? []));
}

/** Renders the statistics as a table for a terminal. */
export function renderRouteTable(routes: readonly RouteStats[]): string {
  const table = new Table({
    head: [
      'route',
      'sent',
      'answered',
      'not-run',
      'other',
      'in time',
      'end ms',
      'first ms',
      'gap ms',
    ],
    style: { head: [], border: [] },
  });
  routes.forEach((row) => {
    table.push([
      row.route,
      row.sent,
      row.answered,
      row.refusedNotRun,
      row.refusedOther,
      `${(row.attainment * PERCENT).toFixed(1)} %`,
      renderPercentiles(row.durationMs),
      renderPercentiles(row.firstTokenMs),
      renderPercentiles(row.tokenGapMs),
    ]);
  });
  return `${table.toString()}\nTimes are p50/p95/p99; "in time" is the share of those sent.`;
}

/** Returns whether a request was answered completely within its deadline. */
export function isInTime(request: TimedRequest): boolean {
  const { end, text, expected, durationMs, deadlineMs } = request;
  return end.kind === 'answered' && text === expected && durationMs <= deadlineMs;
}

function computeStatsOfRoute(
  route: string,
  requests: readonly TimedRequest[],
): readonly RouteStats[] {
  const [first] = requests;
  if (!first) {
    return [];
  }
  const answered = requests.filter(({ end }) => end.kind === 'answered');
  const outcomes = requests.flatMap(({ end }) => (end.kind === 'refused' ? [end.outcome] : []));
  const notRun = outcomes.filter((outcome) => outcome === 'not-run').length;
  return [
    {
      route,
      priority: first.priority,
      deadlineMs: first.deadlineMs,
      sent: requests.length,
      answered: answered.length,
      refusedNotRun: notRun,
      refusedOther: outcomes.length - notRun,
      attainment: requests.filter(isInTime).length / requests.length,
      durationMs: computePercentiles(answered.map(({ durationMs }) => durationMs)),
      firstTokenMs: computePercentiles(
        requests.map(({ firstTokenMs }) => firstTokenMs).filter((timeMs) => timeMs >= 0),
      ),
      tokenGapMs: computePercentiles(requests.flatMap(({ tokenGapsMs }) => tokenGapsMs)),
    },
  ];
}

function renderPercentiles({ count, p50, p95, p99 }: Percentiles): string {
  return count === 0 ? '' : [p50, p95, p99].map((value) => value.toFixed(0)).join('/');
}
