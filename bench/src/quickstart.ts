/** Starts both deployments, sends real requests while faults happen, and checks what came of it. */
import { systemClock, TimerService } from '@galenatiller/timer';
import { Command } from 'commander';

import { checkHistory } from './checker/checkHistory.js';
import type { Verdict } from './checker/history.js';
import { type DeploymentName, DEPLOYMENTS } from './launcher/deployment.js';
import { DEFAULT_SPEED } from './launcher/fakePlan.js';
import { type RunningDeployment, startDeployment } from './launcher/startDeployment.js';
import { REQUEST_MIXES } from './load/requestMix.js';
import { runLoad } from './load/runLoad.js';
import type { TimedRequest } from './load/sendRequest.js';
import { renderRouteTable, routeFigures } from './report/routeTable.js';
import { describeOrder, runOrders } from './scenario/runOrders.js';
import type { ScheduledOrder } from './scenario/scenario.js';

const DEPLOYMENT_NAMES: readonly DeploymentName[] = ['lautoka', 'rekvisitlanet'];
const RATE_PER_SECOND = 20;
const REPEAT_SHARE = 0.2;
const MS_PER_SECOND = 1_000;
const PROGRESS_INTERVAL_MS = 3_000;

/** Requests that run when the load ends finish first; the fakes' loads lag behind a little. */
const LEDGER_SETTLE_MS = 500;

const options = new Command('quickstart')
  .description('Serves requests on two deployments while an engine dies and a zone is taken out.')
  .option('--seconds <s>', 'time of the load on each deployment', '15')
  .option('--seed <seed>', 'seed of the load', '1')
  .option('--keep', 'leave the last deployment up until Ctrl-C')
  .parse()
  .opts<{ readonly seconds: string; readonly seed: string; readonly keep?: true }>();
const timer = TimerService.create({ clock: systemClock });
const durationMs = Number(options.seconds) * MS_PER_SECOND;
const seed = Number(options.seed);

const verdicts: Verdict[] = [];
for (const name of DEPLOYMENT_NAMES) {
  verdicts.push(await serve(name));
}
const total = (count: (verdict: Verdict) => number): number =>
  verdicts.reduce((sum, verdict) => sum + count(verdict), 0);
const counts = [
  `${total(({ answered }) => answered)} answered`,
  `${total(({ refused }) => refused)} refused`,
  `${total(({ lost }) => lost)} lost`,
  `${total(({ doubled }) => doubled)} doubled`,
  `${total(({ crossed }) => crossed)} crossed`,
];
say(counts.join(', '));
const broken = total(({ lost, doubled, crossed }) => lost + doubled + crossed);
process.exitCode = broken === 0 ? 0 : 1;

async function serve(name: DeploymentName): Promise<Verdict> {
  say(`${name}: starting`);
  const deployment = await startDeployment({
    deployment: DEPLOYMENTS[name],
    timer,
    seed,
    speed: DEFAULT_SPEED,
    routingPolicy: 'standard',
  });
  try {
    const verdict = await sendAndCheck(name, deployment);
    if (options.keep && name === DEPLOYMENT_NAMES.at(-1)) {
      await keepUp(deployment);
    }
    return verdict;
  } finally {
    await deployment.stop();
  }
}

async function sendAndCheck(name: DeploymentName, deployment: RunningDeployment): Promise<Verdict> {
  say(`${name}: ${deployment.entryUrls.length} entries, ${deployment.gateNames.length} gates`);
  const ended: TimedRequest[] = [];
  const stopProgress = timer.every({
    intervalMs: PROGRESS_INTERVAL_MS,
    notify: () => say(`${name}: ${ended.length} requests have ended`),
  });
  const [requests] = await Promise.all([
    runLoad({
      timer,
      seed,
      durationMs,
      ratePerSecond: () => RATE_PER_SECOND,
      mix: REQUEST_MIXES[name],
      repeatShare: REPEAT_SHARE,
      promptStart: () => '',
      configuration: deployment.configuration,
      entryUrls: deployment.entryUrls,
      onEnded: (request) => ended.push(request),
    }),
    runOrders({
      deployment,
      timer,
      durationMs,
      orders: faultsOf(name),
      onOrder: (order) => say(`${name}: ${describeOrder(order)}`),
    }),
  ]);
  stopProgress();
  await timer.sleep({ delayMs: LEDGER_SETTLE_MS });
  const ledgers = await deployment.collect();
  const verdict = checkHistory({ requests, ...ledgers, zoneOrders: deployment.zoneOrders });
  say(renderRouteTable(routeFigures(requests)));
  verdict.violations.forEach(({ kind, requestId, detail }) => {
    say(`${name}: ${kind}: request ${requestId}: ${detail}`);
  });
  return verdict;
}

/** An engine dies early; then a zone is taken out, and comes back before the end. */
function faultsOf(name: DeploymentName): readonly ScheduledOrder[] {
  const availabilityZone = DEPLOYMENTS[name].availabilityZones[0] ?? '';
  return [
    {
      atShare: 0.15,
      order: { kind: 'fault', targetName: 'drafter-2', fault: { kind: 'crash' } },
    },
    { atShare: 0.4, order: { kind: 'zone', availabilityZone, state: 'out' } },
    { atShare: 0.85, order: { kind: 'zone', availabilityZone, state: 'in' } },
  ];
}

async function keepUp(deployment: RunningDeployment): Promise<void> {
  const [organisation] = deployment.configuration().organisations.keys();
  say(
    [
      'The deployment stays up until Ctrl-C. Try:',
      `curl -N ${deployment.entryUrls[0] ?? ''}/v1/routes/packing-list \\`,
      `  -H 'Authorization: Bearer example-key-${organisation ?? ''}' \\`,
      `  -d '{"prompt": "two chandeliers and a throne", "stream": true}'`,
    ].join('\n'),
  );
  await deployment.processes.untilEnd('entry-1');
}

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}
