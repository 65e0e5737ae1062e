/** Measures the capacity of one entry: many concurrent streams, then many short requests. */
import type { TimerService } from '@galenatiller/timer';
import type { RouteRule } from '@galenatiller/types';
import { Agent } from 'undici';

import type { Deployment } from '../launcher/deployment.js';
import { DEFAULT_SPEED } from '../launcher/fakePlan.js';
import { type RunningDeployment, startDeployment } from '../launcher/startDeployment.js';
import { countStreamEvents } from '../load/countStreamEvents.js';
import { type RoleUsage, computeUsageByRole } from '../report/computeUsageByRole.js';
import { findRouteByWork } from './findRouteByWork.js';

/** Options of {@link measureCapacity}. */
export interface MeasureCapacityOptions {
  readonly deployment: Deployment;
  readonly timer: TimerService;
  readonly seed: number;
  /** Duration of each of the three loads. */
  readonly durationMs: number;
  readonly printProgress: (text: string) => void;
}

/** Throughput and resource usage of one load. */
export interface LoadStats {
  readonly whole: number;
  readonly refused: number;
  readonly torn: number;
  /** Stream events, or responses to short requests, per second. */
  readonly perSecond: number;
  /** The same per second of CPU time of the busiest entry. */
  readonly perEntryCoreSecond: number;
  /** Share of a core that the load generator used. */
  readonly generatorCoreShare: number;
  readonly usage: readonly RoleUsage[];
}

/** The same streams sent directly to the engines and through one entry, and short requests. */
export interface CapacityReport {
  readonly directStreams: LoadStats;
  readonly servedStreams: LoadStats;
  readonly shortRequests: LoadStats;
}

interface Counts {
  whole: number;
  refused: number;
  torn: number;
  events: number;
}

const STREAM_COUNT = 1_000;
const SHORT_REQUEST_CALLERS = 64;
const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Engines batch all streams at a constant speed, so that no stream waits for a slot. */
const UNLIMITED_SPEED = {
  ...DEFAULT_SPEED,
  baseMsPerToken: 20,
  slopeMsPerToken: 0,
  capacity: STREAM_COUNT,
  coldMs: 0,
  coldLimit: STREAM_COUNT,
};

/** Sends streams to the engines and through one entry, then short requests through the entry. */
export async function measureCapacity(opts: MeasureCapacityOptions): Promise<CapacityReport> {
  const deployment = await startDeployment({
    ...opts,
    speed: UNLIMITED_SPEED,
    routingPolicy: 'standard',
  });
  try {
    const { routes, stages } = deployment.getConfiguration();
    const streamRoute = findRouteByWork({ routes, stages, work: 'generate' });
    const shortRoute = findRouteByWork({ routes, stages, work: 'call' });
    const maxTokens = stages.get(streamRoute.stages[0] ?? '')?.maxTokens ?? 0;
    const engines = deployment.fakes.filter(({ kind }) => kind === 'engine');
    const [entryUrl = ''] = deployment.entryUrls;
    opts.printProgress(`${STREAM_COUNT} streams directly to the engines`);
    const directStreams = await runLoadPlan(opts, deployment, {
      urls: engines.map(({ url }) => `${url}/v1/completions`),
      callers: STREAM_COUNT,
      stream: true,
      body: { prompt: 'capacity', stream: true, max_tokens: maxTokens },
    });
    opts.printProgress(`${STREAM_COUNT} streams through one entry`);
    const servedStreams = await runLoadPlan(opts, deployment, {
      urls: [getRouteUrl(entryUrl, streamRoute)],
      callers: STREAM_COUNT,
      stream: true,
      body: { prompt: 'capacity', stream: true },
    });
    opts.printProgress(`${SHORT_REQUEST_CALLERS} callers of short requests through one entry`);
    const shortRequests = await runLoadPlan(opts, deployment, {
      urls: [getRouteUrl(entryUrl, shortRoute)],
      callers: SHORT_REQUEST_CALLERS,
      stream: false,
      body: { body: { note: 'capacity' } },
    });
    return { directStreams, servedStreams, shortRequests };
  } finally {
    await deployment.stop();
  }
}

function getRouteUrl(entryUrl: string, route: RouteRule): string {
  return `${entryUrl}/v1/routes/${route.name}`;
}

interface LoadPlan {
  readonly urls: readonly string[];
  /** Number of callers; each sends one request after another. */
  readonly callers: number;
  readonly stream: boolean;
  readonly body: Readonly<Record<string, unknown>>;
}

async function runLoadPlan(
  opts: MeasureCapacityOptions,
  deployment: RunningDeployment,
  plan: LoadPlan,
): Promise<LoadStats> {
  const { timer, durationMs } = opts;
  const counts: Counts = { whole: 0, refused: 0, torn: 0, events: 0 };
  const usageBefore = await deployment.readUsage();
  const cpuBefore = process.cpuUsage();
  const startMs = timer.nowMs();
  const callers = runCallers({ opts, deployment, plan, counts, untilMs: startMs + durationMs });
  await timer.sleep({ delayMs: durationMs });
  const elapsedMs = timer.nowMs() - startMs;
  const { user, system } = process.cpuUsage(cpuBefore);
  const usageAfter = await deployment.readUsage();
  const completed = plan.stream ? counts.events : counts.whole;
  await callers;
  const usage = computeUsageByRole({ before: usageBefore, after: usageAfter, elapsedMs });
  const entryShare = usage.find(({ role }) => role === 'entry')?.maxCoreShare ?? 0;
  const perSecond = (completed / elapsedMs) * MS_PER_SECOND;
  return {
    whole: counts.whole,
    refused: counts.refused,
    torn: counts.torn,
    perSecond,
    perEntryCoreSecond: entryShare === 0 ? 0 : perSecond / entryShare,
    generatorCoreShare: (user + system) / US_PER_MS / elapsedMs,
    usage,
  };
}

async function runCallers(run: {
  readonly opts: MeasureCapacityOptions;
  readonly deployment: RunningDeployment;
  readonly plan: LoadPlan;
  readonly counts: Counts;
  readonly untilMs: number;
}): Promise<void> {
  const { opts, plan, counts } = run;
  const dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  const organisations = [...run.deployment.getConfiguration().organisations.keys()];
  const sendRequests = async (caller: number): Promise<void> => {
    while (opts.timer.nowMs() < run.untilMs) {
      const end = await countStreamEvents({
        dispatcher,
        url: plan.urls[caller % plan.urls.length] ?? '',
        organisation: organisations[caller % organisations.length] ?? '',
        body: JSON.stringify(plan.body),
        onEvents: (events) => {
          counts.events += events;
        },
      });
      // A short response is not a stream and so has no end marker.
      counts[end === 'torn' && !plan.stream ? 'whole' : end] += 1;
    }
  };
  await Promise.all(Array.from({ length: plan.callers }, (_, caller) => sendRequests(caller)));
  await dispatcher.close();
}
