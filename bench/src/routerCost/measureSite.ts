/** Measures what the routers of a site cost: their start, the idle time and each kind of call. */
import { join } from 'node:path';

import type { TimerService } from '@galenatiller/timer';

import {
  type ProcessCost,
  readProcessCost,
  scaleCost,
  subtractCost,
  sumCosts,
} from './processCost.js';
import { type PartTimes, type ProfilePeriod, sumProfile } from './profileParts.js';
import { type CallCounts, type CallKind, sendCalls } from './sendCalls.js';
import { type RouterProcess, type Site, startSite } from './startSite.js';

/** What is measured, in this order. */
export const PHASES = ['start', 'idle', 'plain', 'stream', 'staged'] as const;

/** `start`: one start. `idle`: a second without calls. The others: one call, without the idle cost. */
export type Phase = (typeof PHASES)[number];

/** Costs by phase, for each router, second or call. */
export interface SiteCosts {
  readonly costs: ReadonlyMap<Phase, ProcessCost>;
  /** CPU time of a profile by phase and part, for each router, second or call. */
  readonly parts: ReadonlyMap<Phase, PartTimes>;
  readonly answered: number;
  readonly failures: readonly string[];
}

/** Options of {@link measureSite}. */
export interface MeasureSiteOptions {
  readonly timer: TimerService;
  /** Arguments of Node.js for a router: options, and the bundle as the last one. */
  readonly nodeArguments: readonly string[];
  readonly routers: number;
  /** Calls a second to each router. */
  readonly perSecond: number;
  /** Duration of each phase. */
  readonly durationMs: number;
  readonly isProfiled: boolean;
  readonly byFunction: boolean;
}

interface MeasuredPhase extends CallCounts {
  readonly cost: ProcessCost;
  readonly period: ProfilePeriod;
  readonly durationMs: number;
}

const CALL_KINDS: readonly CallKind[] = ['plain', 'stream', 'staged'];

/** Time after the start until links and members have settled. */
const SETTLE_MS = 2_000;

/** Calls of each kind before its measurement, so that code is compiled and connections are open. */
const WARM_UP_MS = 1_500;

const MS_PER_S = 1_000;
const NS_PER_US = 1_000n;

/** Runs a site once. */
export async function measureSite(opts: MeasureSiteOptions): Promise<SiteCosts> {
  const { timer, durationMs } = opts;
  const startedUs = nowUs();
  const site = await startSite(opts);
  const readyUs = nowUs();
  try {
    await timer.sleep({ delayMs: SETTLE_MS });
    const idle = await measurePhase(opts, site, async () => {
      await timer.sleep({ delayMs: durationMs });
      return { answered: 0, failures: [] };
    });
    const calls = new Map<Phase, MeasuredPhase>();
    for (const kind of CALL_KINDS) {
      const load = { ...opts, kind, routers: site.routers };
      await sendCalls({ ...load, durationMs: WARM_UP_MS });
      calls.set(kind, await measurePhase(opts, site, () => sendCalls(load)));
    }
    await site.stop();
    const measured = new Map<Phase, MeasuredPhase>([['idle', idle], ...calls]);
    const starts = sumCosts(site.routers.map(({ startCost }) => startCost));
    const startPeriod = { fromUs: startedUs, untilUs: readyUs };
    return {
      costs: new Map<Phase, ProcessCost>([
        ['start', scaleCost(starts, 1 / site.routers.length)],
        ...[...measured].map(
          ([phase, result]) => [phase, computeUnitCost(result, idle, phase, opts)] as const,
        ),
      ]),
      parts: opts.isProfiled
        ? await sumPhases(opts, site, measured, startPeriod)
        : new Map<Phase, PartTimes>(),
      answered: [...calls.values()].reduce((sum, { answered }) => sum + answered, 0),
      failures: [...calls.values()].flatMap(({ failures }) => failures),
    };
  } finally {
    site.routers.forEach(({ child }) => child.kill('SIGKILL'));
    await site.remove();
  }
}

async function measurePhase(
  { timer }: MeasureSiteOptions,
  site: Site,
  run: () => Promise<CallCounts>,
): Promise<MeasuredPhase> {
  const before = await readCosts(site.routers);
  const startedMs = timer.nowMs();
  const fromUs = nowUs();
  const counts = await run();
  const cost = subtractCost(await readCosts(site.routers), before);
  const durationMs = timer.nowMs() - startedMs;
  return { cost, durationMs, period: { fromUs, untilUs: nowUs() }, ...counts };
}

async function readCosts(routers: readonly RouterProcess[]): Promise<ProcessCost> {
  return sumCosts(await Promise.all(routers.map(({ pid }) => readProcessCost(pid))));
}

/** Cost of a second without calls, or of one call without the idle cost of its phase. */
function computeUnitCost(
  result: MeasuredPhase,
  idle: MeasuredPhase,
  phase: Phase,
  { routers }: MeasureSiteOptions,
): ProcessCost {
  if (phase === 'idle') {
    return scaleCost(result.cost, MS_PER_S / result.durationMs / routers);
  }
  const idleCost = scaleCost(idle.cost, result.durationMs / idle.durationMs);
  return scaleCost(subtractCost(result.cost, idleCost), 1 / Math.max(1, result.answered));
}

/** Sums the profiles of all routers; calls include their share of the idle cost here. */
async function sumPhases(
  opts: MeasureSiteOptions,
  site: Site,
  measured: ReadonlyMap<Phase, MeasuredPhase>,
  startPeriod: ProfilePeriod,
): Promise<ReadonlyMap<Phase, PartTimes>> {
  const periods: readonly (readonly [Phase, ProfilePeriod, number])[] = [
    ['start', startPeriod, site.routers.length],
    ...[...measured].map(
      ([phase, { period, answered, durationMs }]) =>
        [
          phase,
          period,
          phase === 'idle' ? (site.routers.length * durationMs) / MS_PER_S : answered,
        ] as const,
    ),
  ];
  const phases = new Map<Phase, PartTimes>();
  for (const [phase, period, units] of periods) {
    const sums = new Map<string, number>();
    for (const index of site.routers.keys()) {
      const profileFile = join(site.folder, `router-${index}.cpuprofile`);
      const program = opts.nodeArguments.at(-1) ?? '';
      const times = await sumProfile({ ...opts, program, profileFile, periods: [period] });
      times.forEach((timeMs, part) => sums.set(part, (sums.get(part) ?? 0) + timeMs / units));
    }
    phases.set(phase, sums);
  }
  return phases;
}

/** Time of the monotonic clock, which the CPU profiles of all processes use. */
function nowUs(): number {
  return Number(process.hrtime.bigint() / NS_PER_US);
}
