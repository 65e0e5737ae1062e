/** `npm run bench -- --scenario NAME --deployment NAME --seed N [--baseline naive] [--json FILE]`. */
import { writeFile } from 'node:fs/promises';

import { systemClock, TimerService } from '@galenatiller/timer';
import { Command, Option } from 'commander';

import { type DeploymentName, DEPLOYMENTS } from './launcher/deployment.js';
import { renderCounts, renderReport } from './report/renderReport.js';
import { runScenario } from './scenario/runScenario.js';
import { SCENARIO_NAMES, type ScenarioName, scenarioOf } from './scenario/scenarios.js';

interface BenchOptions {
  readonly scenario: ScenarioName;
  readonly deployment: DeploymentName;
  readonly seed: string;
  readonly seconds: string;
  readonly baseline?: 'naive';
  readonly json?: string;
}

const MS_PER_SECOND = 1_000;
const JSON_INDENT = 2;

const options = new Command('bench')
  .description('Runs one scenario over real processes on loopback and checks its history.')
  .addOption(
    new Option('--scenario <name>', 'what happens').choices(SCENARIO_NAMES).default('steady'),
  )
  .addOption(
    new Option('--deployment <name>', 'whose system')
      .choices(Object.keys(DEPLOYMENTS))
      .default('lautoka'),
  )
  .option('--seed <seed>', 'seed of the load', '1')
  .option('--seconds <s>', 'time of the load', '20')
  .addOption(new Option('--baseline <policy>', 'decide by the plain policy').choices(['naive']))
  .option('--json <file>', 'write the report to a file')
  .parse()
  .opts<BenchOptions>();

const deployment = DEPLOYMENTS[options.deployment];
const durationMs = Number(options.seconds) * MS_PER_SECOND;
const seed = Number(options.seed);
const routingPolicy = options.baseline ?? 'standard';
const title = `${options.scenario} on ${options.deployment}, seed ${seed}, ${routingPolicy}`;
const report = await runScenario({
  deployment,
  scenario: scenarioOf(options.scenario, { deployment, durationMs }),
  timer: TimerService.create({ clock: systemClock }),
  seed,
  durationMs,
  routingPolicy,
  say: (text) => say(`${title}: ${text}`),
});
say(renderReport(report));
say(`${title}: ${renderCounts(report.verdict)}`);
if (options.json) {
  const { scenario, seconds } = options;
  const named = { scenario, deployment: options.deployment, seed, seconds, routingPolicy };
  await writeFile(options.json, `${JSON.stringify({ ...named, ...report }, null, JSON_INDENT)}\n`);
}
process.exitCode = report.verdict.violations.length === 0 ? 0 : 1;

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}
