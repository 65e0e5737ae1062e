import { monitorEventLoopDelay } from 'node:perf_hooks';

import type { TimerService } from '@galenatiller/timer';

import { checkHistory } from '../checker/checkHistory.js';
import type { Deployment } from '../launcher/deployment.js';
import { DEFAULT_SPEED } from '../launcher/fakePlan.js';
import type { RoutingPolicy } from '../launcher/renderSettings.js';
import { type RunningDeployment, startDeployment } from '../launcher/startDeployment.js';
import { REQUEST_MIXES } from '../load/requestMix.js';
import { runLoad } from '../load/runLoad.js';
import { type BenchReport, buildReport } from '../report/benchReport.js';
import { describeAction, runActions } from './runActions.js';
import type { Scenario } from './scenario.js';

/** Options of {@link runScenario}. */
export interface RunScenarioOptions {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly timer: TimerService;
  readonly seed: number;
  readonly durationMs: number;
  readonly routingPolicy: RoutingPolicy;
  /** Prints one line of progress. */
  readonly printProgress: (text: string) => void;
  /** Called before the deployment is stopped. */
  readonly beforeStop?: (deployment: RunningDeployment) => Promise<void>;
}

/** Share of at-most-once requests that are sent a second time with the same idempotency key. */
const DUPLICATE_SHARE = 0.2;

const PROGRESS_INTERVAL_MS = 3_000;
const LOOP_DELAY_RESOLUTION_MS = 5;
const NS_PER_MS = 1_000_000;

/** Time for targets to end the runs of requests that their callers have aborted. */
const LEDGER_SETTLE_MS = 500;

/** Starts a deployment, runs a scenario on it, stops it and returns the report. */
export async function runScenario(opts: RunScenarioOptions): Promise<BenchReport> {
  const { scenario, printProgress, deployment: plan } = opts;
  printProgress('starting');
  const speed = { ...DEFAULT_SPEED, ...scenario.speed };
  const deployment = await startDeployment({ ...opts, speed });
  try {
    printProgress(`${deployment.entryUrls.length} entries, ${deployment.gateNames.length} gates`);
    const report = await measureScenario(opts, deployment, plan);
    await opts.beforeStop?.(deployment);
    return report;
  } finally {
    await deployment.stop();
  }
}

async function measureScenario(
  opts: RunScenarioOptions,
  deployment: RunningDeployment,
  plan: Deployment,
): Promise<BenchReport> {
  const { timer, scenario, durationMs, seed, printProgress } = opts;
  let endedCount = 0;
  const stopProgress = timer.every({
    intervalMs: PROGRESS_INTERVAL_MS,
    notify: () => printProgress(`${endedCount} requests have ended`),
  });
  const usageBefore = await deployment.readUsage();
  const callsBefore = await countStoreCalls(deployment);
  const loopDelay = monitorEventLoopDelay({ resolution: LOOP_DELAY_RESOLUTION_MS });
  loopDelay.enable();
  const startMs = timer.nowMs();
  const [requests] = await Promise.all([
    runLoad({
      ...scenario,
      ...{ timer, seed, durationMs },
      mix: REQUEST_MIXES[plan.name],
      duplicateShare: DUPLICATE_SHARE,
      poisonMarker: scenario.speed.poisonMarker ?? '',
      getConfiguration: deployment.getConfiguration,
      entryUrls: deployment.entryUrls,
      onEnded: () => {
        endedCount += 1;
      },
    }),
    runActions({
      ...{ deployment, timer, durationMs },
      actions: scenario.actions,
      onAction: (action) => printProgress(describeAction(action)),
    }),
  ]);
  const elapsedMs = timer.nowMs() - startMs;
  loopDelay.disable();
  stopProgress();
  const usageAfter = await deployment.readUsage();
  const storeCalls = (await countStoreCalls(deployment)) - callsBefore;
  await timer.sleep({ delayMs: LEDGER_SETTLE_MS });
  const ledgers = await deployment.collectLedgers();
  const verdict = checkHistory({ requests, ...ledgers, zoneChanges: deployment.zoneChanges });
  const { runs } = ledgers;
  return buildReport({
    ...{ requests, runs, verdict, usageBefore, usageAfter, elapsedMs, storeCalls },
    loadLagP99Ms: loopDelay.percentile(99) / NS_PER_MS,
  });
}

async function countStoreCalls(deployment: RunningDeployment): Promise<number> {
  const calls = await deployment.readStoreCallCounts();
  return Object.values(calls).reduce((sum, count) => sum + count, 0);
}
