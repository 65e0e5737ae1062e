import type { TimerService } from '@galenatiller/timer';
import { Agent } from 'undici';

import { checkHistory } from '../checker/checkHistory.js';
import type { Deployment } from '../launcher/deployment.js';
import { DEFAULT_SPEED } from '../launcher/fakePlan.js';
import { type RunningDeployment, startDeployment } from '../launcher/startDeployment.js';
import { computeExpectedResult } from '../load/computeExpectedResult.js';
import type { PlannedRequest } from '../load/plannedRequest.js';
import { sendRequest, type TimedRequest } from '../load/sendRequest.js';
import { type Percentiles, computePercentiles } from '../report/percentiles.js';
import { type RoleUsage, computeUsageByRole } from '../report/computeUsageByRole.js';
import { findRouteByWork } from './findRouteByWork.js';

/** Options of {@link measureOverhead}. */
export interface MeasureOverheadOptions {
  readonly deployment: Deployment;
  readonly timer: TimerService;
  readonly seed: number;
  /** Duration of each of the two loads. */
  readonly durationMs: number;
  readonly printProgress: (text: string) => void;
}

/** Results of one load. */
export interface PathStats {
  readonly answered: number;
  readonly firstTokenMs: Percentiles;
  readonly tokenGapMs: Percentiles;
  readonly tokensPerSecond: number;
}

/** The same load sent directly to the engines and through entries and gates. */
export interface OverheadReport {
  readonly direct: PathStats;
  readonly served: PathStats;
  /** How much later the first token arrives through entries and gates. */
  readonly addedFirstTokenMs: { readonly p50: number; readonly p95: number; readonly p99: number };
  readonly usage: readonly RoleUsage[];
  /** CPU time of the entries and of the gates per token that they forwarded. */
  readonly entryCpuUsPerToken: number;
  readonly gateCpuUsPerToken: number;
  readonly violations: number;
}

const REQUESTS_PER_SECOND = 10;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;

/** Measures how much latency and CPU time entries and gates add. */
export async function measureOverhead(opts: MeasureOverheadOptions): Promise<OverheadReport> {
  opts.printProgress('starting');
  const deployment = await startDeployment({
    ...opts,
    speed: DEFAULT_SPEED,
    routingPolicy: 'standard',
  });
  try {
    const engineUrls = deployment.fakes
      .filter(({ kind }) => kind === 'engine')
      .map(({ url }) => url);
    opts.printProgress('directly to the engines');
    const direct = await sendAtFixedRate(opts, deployment, engineUrls, 'engine');
    opts.printProgress('through entries and gates');
    const usageBefore = await deployment.readUsage();
    const startMs = opts.timer.nowMs();
    const served = await sendAtFixedRate(opts, deployment, deployment.entryUrls, 'entry');
    const elapsedMs = opts.timer.nowMs() - startMs;
    const usage = computeUsageByRole({
      before: usageBefore,
      after: await deployment.readUsage(),
      elapsedMs,
    });
    return createOverheadReport({ direct, served, usage, elapsedMs });
  } finally {
    await deployment.stop();
  }
}

/** Sends streams at a fixed rate, to each URL in turn. */
async function sendAtFixedRate(
  opts: MeasureOverheadOptions,
  deployment: RunningDeployment,
  urls: readonly string[],
  receiver: 'engine' | 'entry',
): Promise<readonly TimedRequest[]> {
  const { timer, durationMs } = opts;
  const configuration = deployment.getConfiguration();
  const route = findRouteByWork({ ...configuration, work: 'generate' });
  const dispatcher = new Agent();
  const running: Promise<TimedRequest>[] = [];
  const count = (durationMs / MS_PER_SECOND) * REQUESTS_PER_SECOND;
  const [organisation = ''] = configuration.organisations.keys();
  const maxTokens = configuration.stages.get(route.stages[0] ?? '')?.maxTokens ?? 0;
  for (let number = 0; number < count; number += 1) {
    const planned: PlannedRequest = {
      ...{ organisation, route, stream: true, atMostOnce: false, runKey: '', body: null },
      prompt: `${receiver} request ${opts.seed} ${number}`,
    };
    const expected = computeExpectedResult(configuration, planned);
    const url = urls[number % urls.length] ?? '';
    running.push(
      sendRequest({
        ...{ planned, expected, dispatcher, timer },
        baseUrl: url,
        ...(receiver === 'engine' ? { direct: { maxTokens } } : {}),
      }),
    );
    await timer.sleep({ delayMs: MS_PER_SECOND / REQUESTS_PER_SECOND });
  }
  const requests = await Promise.all(running);
  await dispatcher.close();
  return requests;
}

function createOverheadReport(opts: {
  readonly direct: readonly TimedRequest[];
  readonly served: readonly TimedRequest[];
  readonly usage: readonly RoleUsage[];
  readonly elapsedMs: number;
}): OverheadReport {
  const { usage, elapsedMs } = opts;
  const direct = computePathStats(opts.direct);
  const served = computePathStats(opts.served);
  const getAddedMs = (key: 'p50' | 'p95' | 'p99'): number =>
    served.firstTokenMs[key] - direct.firstTokenMs[key];
  const tokens = opts.served.reduce((sum, request) => sum + countTokens(request), 0);
  const getCpuUsPerToken = (role: RoleUsage['role']): number => {
    const roleUsage = usage.find((row) => row.role === role);
    const cpuMs = (roleUsage?.meanCoreShare ?? 0) * (roleUsage?.processes ?? 0) * elapsedMs;
    return (cpuMs / Math.max(1, tokens)) * US_PER_MS;
  };
  const history = { runs: [], effects: [], zoneChanges: [], coldOverloads: 0 };
  return {
    direct,
    served,
    addedFirstTokenMs: { p50: getAddedMs('p50'), p95: getAddedMs('p95'), p99: getAddedMs('p99') },
    usage,
    entryCpuUsPerToken: getCpuUsPerToken('entry'),
    gateCpuUsPerToken: getCpuUsPerToken('gate'),
    violations: checkHistory({ ...history, requests: [...opts.direct, ...opts.served] }).violations
      .length,
  };
}

function computePathStats(requests: readonly TimedRequest[]): PathStats {
  const answered = requests.filter(({ end }) => end.kind === 'answered');
  return {
    answered: answered.length,
    firstTokenMs: computePercentiles(answered.map(({ firstTokenMs }) => firstTokenMs)),
    tokenGapMs: computePercentiles(answered.flatMap(({ tokenGapsMs }) => tokenGapsMs)),
    tokensPerSecond:
      answered.reduce((sum, request) => sum + countTokens(request), 0) /
      Math.max(1, answered.reduce((sum, { durationMs }) => sum + durationMs, 0) / MS_PER_SECOND),
  };
}

function countTokens({ tokenGapsMs, firstTokenMs }: TimedRequest): number {
  return firstTokenMs < 0 ? 0 : tokenGapsMs.length + 1;
}
