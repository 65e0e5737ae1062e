/** `npm run bench -- --scenario NAME --deployment NAME --seed N [--baseline naive] [--json FILE]`. */
import { writeFile } from 'node:fs/promises';

import { systemClock, TimerService } from '@galenatiller/timer';
import { Command, Option } from 'commander';

import { type DeploymentName, DEPLOYMENTS } from './launcher/deployment.js';
import type { BenchReport } from './report/benchReport.js';
import { renderCapacity } from './report/renderCapacity.js';
import { renderOverhead } from './report/renderOverhead.js';
import { renderCounts, renderReport } from './report/renderReport.js';
import { measureScale, type ScaleRow } from './scale/measureScale.js';
import { renderScale } from './scale/renderScale.js';
import { type CapacityReport, measureCapacity } from './scenario/measureCapacity.js';
import { measureOverhead, type OverheadReport } from './scenario/measureOverhead.js';
import { runScenario } from './scenario/runScenario.js';
import { SCENARIO_NAMES, type ScenarioName, createScenario } from './scenario/scenarios.js';

interface BenchOptions {
  readonly scenario: ScenarioName | 'capacity' | 'overhead' | 'scale';
  readonly deployment: DeploymentName;
  readonly seed: string;
  readonly seconds: string;
  readonly baseline?: 'naive';
  readonly json?: string;
}

/** A report, and the number of violated invariants in it. */
interface BenchResult {
  readonly report:
    BenchReport | CapacityReport | OverheadReport | { readonly rows: readonly ScaleRow[] };
  readonly violations: number;
}

const MS_PER_SECOND = 1_000;
const JSON_INDENT = 2;

const options = new Command('bench')
  .description('Runs one scenario over real processes on loopback and checks its history.')
  .addOption(
    new Option('--scenario <name>', 'scenario to run')
      .choices([...SCENARIO_NAMES, 'overhead', 'capacity', 'scale'])
      .default('steady'),
  )
  .addOption(
    new Option('--deployment <name>', 'deployment to start')
      .choices(Object.keys(DEPLOYMENTS))
      .default('lautoka'),
  )
  .option('--seed <seed>', 'seed of the load', '1')
  .option('--seconds <s>', 'duration of the load', '20')
  .addOption(
    new Option('--baseline <policy>', 'routing policy to use instead of the standard one').choices([
      'naive',
    ]),
  )
  .option('--json <file>', 'write the report to a file')
  .parse()
  .opts<BenchOptions>();

const deployment = DEPLOYMENTS[options.deployment];
const durationMs = Number(options.seconds) * MS_PER_SECOND;
const seed = Number(options.seed);
const routingPolicy = options.baseline ?? 'standard';
const title = `${options.scenario} on ${options.deployment}, seed ${seed}, ${routingPolicy}`;
const timer = TimerService.create({ clock: systemClock });
const printProgress = (text: string): void => printLine(`${title}: ${text}`);
const result = await runBench(options.scenario);
if (options.json) {
  const { scenario, seconds } = options;
  const parameters = { scenario, deployment: options.deployment, seed, seconds, routingPolicy };
  const text = JSON.stringify({ ...parameters, ...result.report }, null, JSON_INDENT);
  await writeFile(options.json, `${text}\n`);
}
process.exitCode = result.violations === 0 ? 0 : 1;

function runBench(scenario: BenchOptions['scenario']): Promise<BenchResult> {
  switch (scenario) {
    case 'overhead':
      return runOverhead();
    case 'capacity':
      return runCapacity();
    case 'scale':
      return runScale();
    default:
      return runMixedLoad(scenario);
  }
}

async function runMixedLoad(scenario: ScenarioName): Promise<BenchResult> {
  const report = await runScenario({
    ...{ deployment, timer, seed, durationMs, routingPolicy },
    scenario: createScenario(scenario, { deployment, durationMs }),
    printProgress,
  });
  printLine(renderReport(report));
  printProgress(renderCounts(report.verdict));
  return { report, violations: report.verdict.violations.length };
}

async function runOverhead(): Promise<BenchResult> {
  const report = await measureOverhead({
    deployment,
    timer,
    seed,
    durationMs,
    printProgress,
  });
  printLine(renderOverhead(report));
  return { report, violations: report.violations };
}

async function runCapacity(): Promise<BenchResult> {
  const report = await measureCapacity({
    deployment,
    timer,
    seed,
    durationMs,
    printProgress,
  });
  printLine(renderCapacity(report));
  return { report, violations: 0 };
}

async function runScale(): Promise<BenchResult> {
  const rows = await measureScale({ printProgress });
  printLine(renderScale(rows));
  return { report: { rows }, violations: 0 };
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}
