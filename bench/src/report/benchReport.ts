/** Builds the report of a scenario run. */
import { pipe } from 'fp-ts/lib/function.js';
import * as NEA from 'fp-ts/lib/NonEmptyArray.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { Verdict } from '../checker/history.js';
import type { LedgerRun } from '../launcher/collectLedgers.js';
import type { ProcessUsage } from '../launcher/processGroup.js';
import type { TimedRequest } from '../load/sendRequest.js';
import { isInTime, type RouteStats, computeRouteStats } from './routeTable.js';
import { type RoleUsage, computeUsageByRole } from './computeUsageByRole.js';

/** Share of requests answered within their deadline, of one class or organisation. */
export interface Attainment {
  readonly name: string;
  readonly sent: number;
  readonly attainment: number;
}

/** Number of refusals with one code and outcome. */
export interface RefusalCount {
  readonly code: number;
  readonly outcome: string;
  readonly count: number;
}

/** Runs and busy time of the targets of one group. */
export interface StageCost {
  readonly group: string;
  readonly runs: number;
  /** Runs that did not end as `answered`. */
  readonly wastedRuns: number;
  readonly crashes: number;
  readonly busyMs: number;
  /** Busy time for each request that was answered in time. */
  readonly busyMsPerInTime: number;
}

/** Options of {@link buildReport}. */
export interface BuildReportOptions {
  readonly requests: readonly TimedRequest[];
  readonly runs: readonly LedgerRun[];
  readonly verdict: Verdict;
  readonly usageBefore: readonly ProcessUsage[];
  readonly usageAfter: readonly ProcessUsage[];
  readonly elapsedMs: number;
  readonly storeCalls: number;
  readonly loadLagP99Ms: number;
}

/** Measurements of a scenario run; written as JSON by `--json`. */
export interface BenchReport {
  readonly routes: readonly RouteStats[];
  readonly classes: readonly Attainment[];
  readonly organisations: readonly Attainment[];
  readonly refusals: readonly RefusalCount[];
  readonly costs: readonly StageCost[];
  readonly usage: readonly RoleUsage[];
  readonly storeCallsPerSecond: number;
  /** Event-loop lag of the load generator; measured times below it are not meaningful. */
  readonly loadLagP99Ms: number;
  readonly verdict: Verdict;
}

const MS_PER_SECOND = 1_000;

/** Computes the report from the records of a run. */
export function buildReport(opts: BuildReportOptions): BenchReport {
  const { requests } = opts;
  return {
    routes: computeRouteStats(requests),
    classes: computeAttainments(requests, ({ priority }) => priority),
    organisations: computeAttainments(requests, ({ organisation }) => organisation),
    refusals: countRefusals(requests),
    costs: computeStageCosts(opts.runs, requests.filter(isInTime).length),
    usage: computeUsageByRole({
      before: opts.usageBefore,
      after: opts.usageAfter,
      elapsedMs: opts.elapsedMs,
    }),
    storeCallsPerSecond: (opts.storeCalls / opts.elapsedMs) * MS_PER_SECOND,
    loadLagP99Ms: opts.loadLagP99Ms,
    verdict: opts.verdict,
  };
}

function computeAttainments(
  requests: readonly TimedRequest[],
  getName: (request: TimedRequest) => string,
): readonly Attainment[] {
  const groups = pipe(requests, RA.toArray, NEA.groupBy(getName));
  const all: readonly (readonly [string, readonly TimedRequest[]])[] = [
    ...Object.entries(groups),
    ['all', requests],
  ];
  return all.map(([name, group]) => ({
    name,
    sent: group.length,
    attainment: group.filter(isInTime).length / Math.max(1, group.length),
  }));
}

function countRefusals(requests: readonly TimedRequest[]): readonly RefusalCount[] {
  const refusals = requests.flatMap(({ end }) => (end.kind === 'refused' ? [end] : []));
  const groups = pipe(
    refusals,
    NEA.groupBy(({ code, outcome }) => `${code} ${outcome}`),
  );
  return Object.values(groups).map((group) => ({
    code: group[0].code,
    outcome: group[0].outcome,
    count: group.length,
  }));
}

function computeStageCosts(runs: readonly LedgerRun[], inTimeCount: number): readonly StageCost[] {
  const groups = pipe(
    runs,
    RA.toArray,
    NEA.groupBy(({ group }) => group),
  );
  return Object.entries(groups).map(([group, groupRuns]) => {
    const busyMs = groupRuns.reduce((sum, { runMs }) => sum + runMs, 0);
    return {
      group,
      runs: groupRuns.length,
      wastedRuns: groupRuns.filter(({ how }) => how !== 'answered').length,
      crashes: groupRuns.filter(({ how }) => how === 'crashed').length,
      busyMs,
      busyMsPerInTime: busyMs / Math.max(1, inTimeCount),
    };
  });
}
