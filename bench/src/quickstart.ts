/** Starts both deployments, sends requests while faults occur, and checks the history. */
import { systemClock, TimerService } from '@galenatiller/timer';
import { Command } from 'commander';

import type { Verdict } from './checker/history.js';
import { type DeploymentName, DEPLOYMENTS } from './launcher/deployment.js';
import type { RunningDeployment } from './launcher/startDeployment.js';
import { renderCounts } from './report/renderReport.js';
import { renderRouteTable } from './report/routeTable.js';
import { runScenario } from './scenario/runScenario.js';
import type { Scenario } from './scenario/scenario.js';

const DEPLOYMENT_NAMES: readonly DeploymentName[] = ['lautoka', 'rekvisitlanet'];
const REQUESTS_PER_SECOND = 20;
const MS_PER_SECOND = 1_000;

const options = new Command('quickstart')
  .description(
    'Serves requests on two deployments while an engine crashes and a zone is taken out.',
  )
  .option('--seconds <s>', 'duration of the load on each deployment', '15')
  .option('--seed <seed>', 'seed of the load', '1')
  .option('--keep', 'keep the last deployment running until Ctrl-C')
  .parse()
  .opts<{ readonly seconds: string; readonly seed: string; readonly keep?: true }>();
const timer = TimerService.create({ clock: systemClock });

const verdicts: Verdict[] = [];
for (const name of DEPLOYMENT_NAMES) {
  verdicts.push(await runQuickstart(name));
}
const total = sumVerdicts(verdicts);
printLine(renderCounts(total));
process.exitCode = total.lost + total.doubled + total.crossed === 0 ? 0 : 1;

async function runQuickstart(name: DeploymentName): Promise<Verdict> {
  const isKept = options.keep && name === DEPLOYMENT_NAMES.at(-1);
  const report = await runScenario({
    deployment: DEPLOYMENTS[name],
    scenario: createQuickstartScenario(name),
    timer,
    seed: Number(options.seed),
    durationMs: Number(options.seconds) * MS_PER_SECOND,
    routingPolicy: 'standard',
    printProgress: (text) => printLine(`${name}: ${text}`),
    ...(isKept ? { beforeStop: waitForInterrupt } : {}),
  });
  printLine(renderRouteTable(report.routes));
  report.verdict.violations.forEach(({ kind, requestId, detail }) => {
    printLine(`${name}: ${kind}: request ${requestId}: ${detail}`);
  });
  return report.verdict;
}

/** An engine crashes early; then a zone is taken out, and it is back in before the end. */
function createQuickstartScenario(name: DeploymentName): Scenario {
  const availabilityZone = DEPLOYMENTS[name].availabilityZones[0] ?? '';
  return {
    ratePerSecond: () => REQUESTS_PER_SECOND,
    speed: {},
    poisonShare: 0,
    floodOrganisation: '',
    actions: [
      {
        atShare: 0.15,
        action: { kind: 'fault', targetName: 'drafter-2', fault: { kind: 'crash' } },
      },
      { atShare: 0.4, action: { kind: 'zone', availabilityZone, state: 'out' } },
      { atShare: 0.85, action: { kind: 'zone', availabilityZone, state: 'in' } },
    ],
  };
}

async function waitForInterrupt(deployment: RunningDeployment): Promise<void> {
  const [organisation] = deployment.getConfiguration().organisations.keys();
  printLine(
    [
      'The deployment stays up until Ctrl-C. Try:',
      `curl -N ${deployment.entryUrls[0] ?? ''}/v1/routes/packing-list \\`,
      `  -H 'Authorization: Bearer example-key-${organisation ?? ''}' \\`,
      `  -d '{"prompt": "two chandeliers and a throne", "stream": true}'`,
    ].join('\n'),
  );
  await deployment.processes.waitForEnd('entry-1');
}

function sumVerdicts(each: readonly Verdict[]): Omit<Verdict, 'violations'> {
  const sum = (count: (verdict: Verdict) => number): number =>
    each.reduce((subtotal, verdict) => subtotal + count(verdict), 0);
  return {
    answered: sum(({ answered }) => answered),
    refused: sum(({ refused }) => refused),
    lost: sum(({ lost }) => lost),
    doubled: sum(({ doubled }) => doubled),
    crossed: sum(({ crossed }) => crossed),
  };
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}
